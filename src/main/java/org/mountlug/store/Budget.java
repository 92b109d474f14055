package org.mountlug.store;

/** A bucket that fills at a rate; time comes in as an argument, so that tests need no clock. */
public final class Budget {
    private final double perS;
    private final double most;
    private double level;
    private double atS = Double.NaN;
    private double taken;

    /** A full bucket that gains {@code perS} a second and holds {@code most}. */
    public Budget(double perS, double most) {
        this.perS = perS;
        this.most = Math.max(1, most);
        this.level = this.most;
    }

    /** What may be taken now. */
    public synchronized double level(double nowS) {
        if (!Double.isNaN(atS)) {
            level = Math.min(most, level + Math.max(0, nowS - atS) * perS);
        }
        atS = nowS;
        return level;
    }

    /** Takes so much, or nothing and false if there is less. */
    public synchronized boolean take(double nowS, double n) {
        if (level(nowS) + 1e-9 < n) {
            return false;
        }
        level -= n;
        taken += n;
        return true;
    }

    /** Takes so much, even if there is less; the debt is never more than a full bucket. */
    public synchronized void spend(double nowS, double n) {
        level = Math.max(-most, level(nowS) - n);
        taken += n;
    }

    /** How much has been taken and spent since the beginning. */
    public synchronized double taken() {
        return taken;
    }
}
