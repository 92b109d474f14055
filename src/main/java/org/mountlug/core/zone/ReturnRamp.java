package org.mountlug.core.zone;

import org.mountlug.Constants;

/**
 * The pace at which a returning zone gets work: a window of starts that may be under way there at the same time. It grows by
 * addition while starts succeed and machines stay up, and is halved at once when they do not (additive increase,
 * multiplicative decrease), so a zone that takes work well is full again within seconds and one that does not gets little.
 */
final class ReturnRamp {
    private final RampLimits limits;
    private double window;
    private double nextStepS = Double.NEGATIVE_INFINITY;
    private long succeededBefore = -1;
    private long lostBefore;

    ReturnRamp(RampLimits limits, double window) {
        this.limits = limits;
        this.window = window;
    }

    /** A ramp at its beginning for a zone with so many machines heard. */
    static ReturnRamp begin(RampLimits limits, int heard) {
        return new ReturnRamp(limits, RampLimits.atLeastOne(limits.startShare(), heard));
    }

    /**
     * Takes in what has happened since the last step, at most once a second.
     *
     * @param succeeded starts in the zone that have succeeded, ever
     * @param lost starts in the zone that came to nothing, ever
     * @param underWay starts under way now
     */
    void step(ZoneCounts counts, long succeeded, long lost, int underWay, double nowS) {
        if (nowS < nextStepS) {
            return;
        }
        nextStepS = nowS + Constants.Zones.RAMP_STEP_S;
        boolean first = succeededBefore < 0;
        boolean progress = !first && succeeded > succeededBefore;
        boolean trouble = !first && lost > lostBefore || counts.manyQuiet(Constants.Zones.RAMP_QUIET_SHARE);
        succeededBefore = succeeded;
        lostBefore = lost;
        int heard = counts.heard();
        if (trouble) {
            window = Math.max(1, window / 2);
        } else if (!first && (progress || underWay < window)) {
            window += RampLimits.atLeastOne(limits.growShare(), heard);
        }
        window = Math.min(window, Math.max(1, heard));
    }

    /** Starts that may be under way. */
    double window() {
        return window;
    }

    /** Whether it holds nothing back any more. */
    boolean full(int heard) {
        return window >= Math.max(1, heard);
    }

    /** Image downloads that may be under way. */
    int downloads(int heard) {
        return RampLimits.atLeastOne(limits.downloadsShare(), heard);
    }
}
