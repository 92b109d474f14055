package org.mountlug.store;

/** A bucket that fills at a rate; time comes in as an argument, so that tests need no clock. */
public final class TokenBucket {
    private final double perS;
    private final double most;
    private double level;
    private double atS = Double.NaN;
    private double totalAcquired;

    /** A full bucket that gains {@code perS} a second and holds {@code most}. */
    public TokenBucket(double perS, double most) {
        this.perS = perS;
        this.most = Math.max(1, most);
        this.level = this.most;
    }

    /** What may be taken now. */
    public synchronized double available(double nowS) {
        if (!Double.isNaN(atS)) {
            level = Math.min(most, level + Math.max(0, nowS - atS) * perS);
        }
        atS = nowS;
        return level;
    }

    /** Takes so much, or nothing and false if there is less. */
    public synchronized boolean tryAcquire(double nowS, double n) {
        if (available(nowS) + 1e-9 < n) {
            return false;
        }
        level -= n;
        totalAcquired += n;
        return true;
    }

    /** Takes so much, even if there is less; the debt is never more than a full bucket. */
    public synchronized void charge(double nowS, double n) {
        level = Math.max(-most, available(nowS) - n);
        totalAcquired += n;
    }

    /** How much has been taken and spent since the beginning. */
    public synchronized double totalAcquired() {
        return totalAcquired;
    }
}
