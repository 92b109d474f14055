package org.mountlug.core.zone;

/** What the machines of a zone show at one moment. */
public enum ZoneEvidence {
    /** Too few machines to tell a zone from its machines. */
    TOO_FEW,
    /** Neither silent for long enough nor heard again, as in the first seconds of a leader's term. */
    UNDECIDED,
    /** Nearly all machines are heard. */
    REPORTING,
    /** Some are silent, fewer than make a zone suspect. */
    PARTLY_SILENT,
    /** Most are silent, or all are but more than this zone is silent, so that the fault may be the leader's own. */
    MOSTLY_SILENT,
    /** The zone as a whole is silent, and it alone. */
    SILENT;

    /**
     * Judges a zone by its machines.
     *
     * @param attributable whether silence can be the zone's: other zones are heard, and no peer hears this one's workers
     */
    public static ZoneEvidence of(ZoneCounts counts, boolean attributable, ZoneThresholds thresholds) {
        int machines = counts.machines();
        if (machines < thresholds.minMachines()) {
            return TOO_FEW;
        }
        if (counts.silent() >= machines * thresholds.lostShare()) {
            return attributable ? SILENT : MOSTLY_SILENT;
        }
        if (counts.silent() > machines * thresholds.suspectShare()) {
            return MOSTLY_SILENT;
        }
        if (counts.reporting() < machines * thresholds.returnShare()) {
            return UNDECIDED;
        }
        return counts.silent() > machines * thresholds.clearShare() ? PARTLY_SILENT : REPORTING;
    }
}
