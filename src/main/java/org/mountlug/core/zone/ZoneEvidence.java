package org.mountlug.core.zone;

/** What the machines of a zone show at one moment. */
public enum ZoneEvidence {
    /** Too few machines to tell a zone from its machines. */
    TOO_FEW,
    /** Neither silent for long enough nor heard again, as in the first seconds of a leader's term. */
    UNDECIDED,
    /** Nearly all machines are heard. */
    HEARD,
    /** Some are silent, fewer than make a zone suspect. */
    MIXED,
    /** Most are silent, or all are but more than this zone is silent, so that the fault may be the leader's own. */
    PARTLY_SILENT,
    /** The zone as a whole is silent, and it alone. */
    SILENT;

    /**
     * Judges a zone by its machines.
     *
     * @param attributable whether silence can be the zone's: other zones are heard, and no peer hears this one's workers
     */
    public static ZoneEvidence of(ZoneCounts counts, boolean attributable, ZoneThresholds thresholds) {
        int machines = counts.machines();
        if (machines < thresholds.leastMachines()) {
            return TOO_FEW;
        }
        if (counts.silent() >= machines * thresholds.lostShare()) {
            return attributable ? SILENT : PARTLY_SILENT;
        }
        if (counts.silent() > machines * thresholds.suspectShare()) {
            return PARTLY_SILENT;
        }
        if (counts.heard() < machines * thresholds.returnShare()) {
            return UNDECIDED;
        }
        return counts.silent() > machines * thresholds.clearShare() ? MIXED : HEARD;
    }
}
