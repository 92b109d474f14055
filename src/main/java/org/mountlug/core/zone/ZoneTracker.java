package org.mountlug.core.zone;

/**
 * The state of one zone over time. A transition is made once the evidence for it has lasted; after each loss a zone must be
 * heard for longer before it returns, up to a bound, and calm shortens that again (flap damping).
 */
final class ZoneTracker {
    private static final int LOSSES_MOST = 10;

    private final String zone;
    private final ZoneThresholds thresholds;
    private final RampSettings limits;
    private ZoneState state = ZoneState.PRESENT;
    private double stateSinceS;
    private double absentSinceS;
    private int recentLosses;
    private double lossS;
    private int maxSilentMachines;
    private ReturnRamp ramp;
    private ZoneState pending;
    private double pendingSinceS;

    ZoneTracker(String zone, ZoneThresholds thresholds, RampSettings limits, double nowS) {
        this.zone = zone;
        this.thresholds = thresholds;
        this.limits = limits;
        stateSinceS = nowS;
        lossS = nowS;
    }

    /** Goes on where an earlier leader stopped. */
    ZoneTracker(ZoneSnapshot stored, ZoneThresholds thresholds, RampSettings limits, double nowS) {
        this(stored.zone(), thresholds, limits, nowS);
        state = stored.state();
        stateSinceS = nowS - stored.stateAgeS();
        absentSinceS = nowS - stored.absentAgeS();
        recentLosses = Math.min(LOSSES_MOST, Math.max(0, stored.recentLosses()));
        lossS = nowS - stored.lossAgeS();
        maxSilentMachines = stored.maxSilentMachines();
        if (state == ZoneState.RETURNING) {
            ramp = new ReturnRamp(limits, Math.max(1, stored.window()), maxSilentMachines);
        }
    }

    /** Machines without which a leader that has just begun cannot judge the zone, as it has yet to hear of the others. */
    int minMachinesToJudge() {
        double known = state == ZoneState.PRESENT ? 0 : maxSilentMachines * thresholds.returnShare();
        return Math.max(thresholds.minMachines(), (int) Math.ceil(known));
    }

    /**
     * Takes in one look at the zone; returns whether its state has changed.
     *
     * @param allMachinesKnown whether this leader has heard for long enough to know of all machines
     */
    boolean observe(
            ZoneEvidence evidence, ZoneCounts counts, ZoneStarts starts, boolean allMachinesKnown, double nowS) {
        forgetLosses(nowS);
        if (state != ZoneState.PRESENT) {
            maxSilentMachines = Math.max(maxSilentMachines, counts.silent());
        }
        if (ramp != null && evidence != ZoneEvidence.UNDECIDED) {
            ramp.step(counts, starts, allMachinesKnown, nowS);
        }
        ZoneState next = ZoneTransitions.next(state, evidence);
        if (state == ZoneState.RETURNING && evidence == ZoneEvidence.REPORTING && !ramp.isFull()) {
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
        double longer = thresholds.returnAfterS() * Math.pow(2, Math.max(0, recentLosses - 1));
        return Math.min(thresholds.maxReturnAfterS(), longer);
    }

    private void enter(ZoneState next, ZoneCounts counts, ZoneStarts starts, double nowS) {
        if (state == ZoneState.PRESENT) {
            absentSinceS = nowS;
            maxSilentMachines = counts.silent();
        }
        if (next == ZoneState.LOST) {
            recentLosses = Math.min(LOSSES_MOST, recentLosses + 1);
            lossS = nowS;
        }
        ramp = next == ZoneState.RETURNING ? ReturnRamp.start(limits, counts.reporting(), starts) : null;
        state = next;
        stateSinceS = nowS;
        pending = null;
    }

    private void forgetLosses(double nowS) {
        while (recentLosses > 0 && state != ZoneState.LOST && nowS - lossS >= thresholds.lossExpiryS()) {
            recentLosses--;
            lossS += thresholds.lossExpiryS();
        }
    }

    ZoneState state() {
        return state;
    }

    /** Steady seconds since when it is in its state. */
    double stateSinceS() {
        return stateSinceS;
    }

    /** Steady seconds since when it has not been present; meaningless while it is. */
    double absentSinceS() {
        return absentSinceS;
    }

    int recentLosses() {
        return recentLosses;
    }

    /** The most machines that were silent in this trouble. */
    int maxSilentMachines() {
        return maxSilentMachines;
    }

    /** The ramp of a returning zone, else null. */
    ReturnRamp ramp() {
        return ramp;
    }

    /** Whether a later leader would act differently for knowing of this zone. */
    boolean needsSnapshot() {
        return state != ZoneState.PRESENT || recentLosses > 0;
    }

    ZoneSnapshot snapshot(double nowS) {
        return new ZoneSnapshot(
                zone,
                state,
                recentLosses,
                nowS - stateSinceS,
                state == ZoneState.PRESENT ? 0 : nowS - absentSinceS,
                nowS - lossS,
                maxSilentMachines,
                ramp == null ? 0 : ramp.window());
    }
}
