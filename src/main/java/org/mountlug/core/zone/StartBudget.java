package org.mountlug.core.zone;

/** How many more starts one round may place in a returning zone; shared by the zone's machines in the view of the round. */
public final class StartBudget {
    private int left;

    /** A budget of so many starts, none if negative. */
    public StartBudget(int starts) {
        left = Math.max(0, starts);
    }

    /** How many starts are left. */
    public int left() {
        return left;
    }

    /** Takes one start. */
    public void take() {
        left--;
    }

    /** Gives back a start that was tried and not kept. */
    public void giveBack() {
        left++;
    }
}
