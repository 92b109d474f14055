package org.mountlug.core.zone;

/**
 * The state of one zone over time. A transition is made once the evidence for it has lasted; after each loss a zone must be
 * heard for longer before it returns, up to a bound, and calm shortens that again (flap damping).
 */
final class ZoneTracker {
    private static final int LOSSES_MOST = 10;

    private final String zone;
    private final ZoneThresholds thresholds;
    private final RampLimits limits;
    private ZoneState state = ZoneState.PRESENT;
    private double sinceS;
    private double troubleS;
    private int losses;
    private double lossS;
    private int displaced;
    private ReturnRamp ramp;
    private ZoneState pending;
    private double pendingSinceS;

    ZoneTracker(String zone, ZoneThresholds thresholds, RampLimits limits, double nowS) {
        this.zone = zone;
        this.thresholds = thresholds;
        this.limits = limits;
        sinceS = nowS;
        lossS = nowS;
    }

    /** Goes on where an earlier leader stopped. */
    ZoneTracker(ZoneSnapshot stored, ZoneThresholds thresholds, RampLimits limits, double nowS) {
        this(stored.zone(), thresholds, limits, nowS);
        state = stored.state();
        sinceS = nowS - stored.stateAgeS();
        troubleS = nowS - stored.troubleAgeS();
        losses = Math.min(LOSSES_MOST, Math.max(0, stored.losses()));
        lossS = nowS - stored.lossAgeS();
        displaced = stored.displaced();
        if (state == ZoneState.RETURNING) {
            ramp = new ReturnRamp(limits, Math.max(1, stored.window()), displaced);
        }
    }

    /** Machines without which a leader that has just begun cannot judge the zone, as it has yet to hear of the others. */
    int machinesToExpect() {
        double known = state == ZoneState.PRESENT ? 0 : displaced * thresholds.returnShare();
        return Math.max(thresholds.leastMachines(), (int) Math.ceil(known));
    }

    /**
     * Takes in one look at the zone; returns whether its state has changed.
     *
     * @param settled whether this leader has heard for long enough to know of all machines
     */
    boolean observe(ZoneEvidence evidence, ZoneCounts counts, ZoneStarts starts, boolean settled, double nowS) {
        forgetLosses(nowS);
        if (state != ZoneState.PRESENT) {
            displaced = Math.max(displaced, counts.silent());
        }
        if (ramp != null && evidence != ZoneEvidence.UNDECIDED) {
            ramp.step(counts, starts, settled, nowS);
        }
        ZoneState next = ZoneTransitions.next(state, evidence);
        if (state == ZoneState.RETURNING && evidence == ZoneEvidence.HEARD && !ramp.full()) {
            next = ZoneState.RETURNING;
        }
        if (next == state) {
            pending = null;
            return false;
        }
        if (next != pending) {
            pending = next;
            pendingSinceS = nowS;
        }
        if (nowS - pendingSinceS < dwellS(next)) {
            return false;
        }
        enter(next, counts, starts, nowS);
        return true;
    }

    /** Seconds for which the evidence for the next state must last. */
    private double dwellS(ZoneState next) {
        if (state == ZoneState.SUSPECT && next == ZoneState.LOST) {
            return thresholds.lostAfterS();
        }
        return state == ZoneState.LOST ? returnAfterS() : 0;
    }

    /** Seconds for which the lost zone must be heard before it returns: doubled by each recent loss beyond the first. */
    double returnAfterS() {
        double longer = thresholds.returnAfterS() * Math.pow(2, Math.max(0, losses - 1));
        return Math.min(thresholds.returnAfterMostS(), longer);
    }

    private void enter(ZoneState next, ZoneCounts counts, ZoneStarts starts, double nowS) {
        if (state == ZoneState.PRESENT) {
            troubleS = nowS;
            displaced = counts.silent();
        }
        if (next == ZoneState.LOST) {
            losses = Math.min(LOSSES_MOST, losses + 1);
            lossS = nowS;
        }
        ramp = next == ZoneState.RETURNING ? ReturnRamp.begin(limits, counts.heard(), starts) : null;
        state = next;
        sinceS = nowS;
        pending = null;
    }

    private void forgetLosses(double nowS) {
        while (losses > 0 && state != ZoneState.LOST && nowS - lossS >= thresholds.calmS()) {
            losses--;
            lossS += thresholds.calmS();
        }
    }

    ZoneState state() {
        return state;
    }

    /** Steady seconds since when it is in its state. */
    double sinceS() {
        return sinceS;
    }

    /** Steady seconds since when it has not been present; meaningless while it is. */
    double troubleS() {
        return troubleS;
    }

    int losses() {
        return losses;
    }

    /** The most machines that were silent in this trouble. */
    int displaced() {
        return displaced;
    }

    /** The ramp of a returning zone, else null. */
    ReturnRamp ramp() {
        return ramp;
    }

    /** Whether a later leader would act differently for knowing of this zone. */
    boolean worthKeeping() {
        return state != ZoneState.PRESENT || losses > 0;
    }

    ZoneSnapshot snapshot(double nowS) {
        return new ZoneSnapshot(
                zone,
                state,
                losses,
                nowS - sinceS,
                state == ZoneState.PRESENT ? 0 : nowS - troubleS,
                nowS - lossS,
                displaced,
                ramp == null ? 0 : ramp.window());
    }
}
