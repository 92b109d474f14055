package org.mountlug.core.zone;

/**
 * Tracks the state of one zone. A transition is made once the evidence for it has lasted for some time. Each loss lengthens,
 * up to a bound, the time for which the zone must be reporting before it returns; losses expire (flap damping).
 */
final class ZoneTracker {
    private static final int MAX_RECENT_LOSSES = 10;

    private final String zone;
    private final ZoneThresholds thresholds;
    private final RampSettings rampSettings;
    private ZoneState state = ZoneState.PRESENT;
    private double stateSinceS;
    private double absentSinceS;
    private int recentLosses;
    /** Monotonic time in seconds from which the expiry of the next recent loss counts. */
    private double lossExpiryStartS;

    private int maxSilentMachines;
    private ReturnRamp ramp;
    private ZoneState pendingState;
    private double pendingSinceS;

    ZoneTracker(String zone, ZoneThresholds thresholds, RampSettings rampSettings, double nowS) {
        this.zone = zone;
        this.thresholds = thresholds;
        this.rampSettings = rampSettings;
        stateSinceS = nowS;
        lossExpiryStartS = nowS;
    }

    /** Restores the state that an earlier leader stored. */
    ZoneTracker(ZoneSnapshot stored, ZoneThresholds thresholds, RampSettings rampSettings, double nowS) {
        this(stored.zone(), thresholds, rampSettings, nowS);
        state = stored.state();
        stateSinceS = nowS - stored.stateAgeS();
        absentSinceS = nowS - stored.absentAgeS();
        recentLosses = Math.min(MAX_RECENT_LOSSES, Math.max(0, stored.recentLosses()));
        lossExpiryStartS = nowS - stored.lossAgeS();
        maxSilentMachines = stored.maxSilentMachines();
        if (state == ZoneState.RETURNING) {
            ramp = new ReturnRamp(rampSettings, Math.max(1, stored.window()), maxSilentMachines);
        }
    }

    /**
     * Returns the number of machines that a new leader must know of before it can judge the zone, as the zone's other machines
     * may not have reported to it yet.
     */
    int minMachinesToJudge() {
        double minReporting = state == ZoneState.PRESENT ? 0 : maxSilentMachines * thresholds.returnShare();
        return Math.max(thresholds.minMachines(), (int) Math.ceil(minReporting));
    }

    /**
     * Updates the state by the evidence of one moment; returns whether the state has changed.
     *
     * @param allMachinesKnown whether this leader has received reports for long enough to know of all machines
     */
    boolean observe(
            ZoneEvidence evidence, ZoneCounts counts, ZoneStarts starts, boolean allMachinesKnown, double nowS) {
        expireLosses(nowS);
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
            pendingState = null;
            return false;
        }
        if (next != pendingState) {
            pendingState = next;
            pendingSinceS = nowS;
        }
        if (nowS - pendingSinceS < requiredEvidenceS(next)) {
            return false;
        }
        enter(next, counts, starts, nowS);
        return true;
    }

    /** Returns the seconds for which the evidence for the next state must last. */
    private double requiredEvidenceS(ZoneState next) {
        if (state == ZoneState.SUSPECT && next == ZoneState.LOST) {
            return thresholds.lostAfterS();
        }
        return state == ZoneState.LOST ? returnAfterS() : 0;
    }

    /**
     * Returns the seconds for which the lost zone must be reporting before it returns: doubled by each recent loss beyond the
     * first, up to a bound.
     */
    double returnAfterS() {
        double doubledS = thresholds.returnAfterS() * Math.pow(2, Math.max(0, recentLosses - 1));
        return Math.min(thresholds.maxReturnAfterS(), doubledS);
    }

    private void enter(ZoneState next, ZoneCounts counts, ZoneStarts starts, double nowS) {
        if (state == ZoneState.PRESENT) {
            absentSinceS = nowS;
            maxSilentMachines = counts.silent();
        }
        if (next == ZoneState.LOST) {
            recentLosses = Math.min(MAX_RECENT_LOSSES, recentLosses + 1);
            lossExpiryStartS = nowS;
        }
        ramp = next == ZoneState.RETURNING ? ReturnRamp.start(rampSettings, counts.reporting(), starts) : null;
        state = next;
        stateSinceS = nowS;
        pendingState = null;
    }

    private void expireLosses(double nowS) {
        while (recentLosses > 0 && state != ZoneState.LOST && nowS - lossExpiryStartS >= thresholds.lossExpiryS()) {
            recentLosses--;
            lossExpiryStartS += thresholds.lossExpiryS();
        }
    }

    ZoneState state() {
        return state;
    }

    /** Returns the monotonic time in seconds at which the zone entered its state. */
    double stateSinceS() {
        return stateSinceS;
    }

    /** Returns the monotonic time in seconds at which the zone ceased to be present; meaningless while it is present. */
    double absentSinceS() {
        return absentSinceS;
    }

    int recentLosses() {
        return recentLosses;
    }

    /** Returns the highest number of silent machines since the zone ceased to be present. */
    int maxSilentMachines() {
        return maxSilentMachines;
    }

    /** Returns the ramp of a returning zone, else null. */
    ReturnRamp ramp() {
        return ramp;
    }

    /** Whether the state must be stored, because a later leader would act differently without it. */
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
                nowS - lossExpiryStartS,
                maxSilentMachines,
                ramp == null ? 0 : ramp.window());
    }
}
