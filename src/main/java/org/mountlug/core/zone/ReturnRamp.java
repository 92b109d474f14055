package org.mountlug.core.zone;

import org.mountlug.Constants;

/**
 * The pace at which a returning zone gets work: a window of starts that may be under way there at the same time. It grows by
 * addition while starts succeed and machines stay up, and is halved at once when they do not (additive increase,
 * multiplicative decrease), so a zone that takes work well is full again within seconds and one that does not gets little.
 */
final class ReturnRamp {
    private final RampSettings limits;
    private double window;
    /** Machines heard in the zone when it was last looked at, which bound the window. */
    private int machines;

    private double nextStepS = Double.NEGATIVE_INFINITY;
    /** The starts as of the last step, null before the first. */
    private ZoneStarts before;

    /** A ramp that an earlier leader had taken to this window, in a zone with so many machines. */
    ReturnRamp(RampSettings limits, double window, int machines) {
        this.limits = limits;
        this.window = window;
        this.machines = Math.max(1, machines);
    }

    /** A ramp at its beginning for a zone with so many machines heard, and its starts as of now. */
    static ReturnRamp start(RampSettings limits, int heard, ZoneStarts starts) {
        ReturnRamp ramp = new ReturnRamp(limits, RampSettings.atLeastOne(limits.startShare(), heard), heard);
        ramp.before = starts;
        return ramp;
    }

    /**
     * Takes in what has happened since the last step, at most once a second.
     *
     * @param allMachinesKnown whether this leader knows of all machines, so that fewer heard than before are fewer indeed
     */
    void step(ZoneCounts counts, ZoneStarts starts, boolean allMachinesKnown, double nowS) {
        if (nowS < nextStepS) {
            return;
        }
        nextStepS = nowS + Constants.Zones.RAMP_STEP_S;
        machines = Math.max(allMachinesKnown ? 1 : machines, counts.reporting());
        if (fails(counts, starts)) {
            window = Math.max(1, window / 2);
        } else if (gainsGround(starts)) {
            window += RampSettings.atLeastOne(limits.growShare(), machines);
        }
        window = Math.min(window, machines);
        before = starts;
    }

    private boolean fails(ZoneCounts counts, ZoneStarts starts) {
        boolean lostStart = before != null && starts.lost() > before.lost();
        return lostStart || counts.hasManyLate(Constants.Zones.RAMP_QUIET_SHARE);
    }

    /** Whether starts succeed, or there are none that could fail. */
    private boolean gainsGround(ZoneStarts starts) {
        return before != null && (starts.succeeded() > before.succeeded() || starts.inProgress() == 0);
    }

    /** Starts that may be under way. */
    double window() {
        return window;
    }

    /** Whether it holds nothing back any more. */
    boolean isFull() {
        return window >= machines;
    }

    /** Image downloads that may be under way. */
    int maxDownloads() {
        return RampSettings.atLeastOne(limits.downloadsShare(), machines);
    }
}
