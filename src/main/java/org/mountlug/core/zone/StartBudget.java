package org.mountlug.core.zone;

/** Counts the starts that one allocation round may still place in a returning zone; shared by all machines of the zone. */
public final class StartBudget {
    private int remaining;

    /** Creates a budget of this number of starts; a negative number counts as 0. */
    public StartBudget(int starts) {
        remaining = Math.max(0, starts);
    }

    /** Returns how many starts are left. */
    public int left() {
        return remaining;
    }

    /** Uses up one start. */
    public void take() {
        remaining--;
    }

    /** Returns one start to the budget, after a tentative placement was undone. */
    public void giveBack() {
        remaining++;
    }
}
