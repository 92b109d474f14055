package org.mountlug.core.zone;

/** The condition of a zone at one moment, as derived from the reports and the silence of its machines. */
public enum ZoneEvidence {
    /** The zone has too few machines to tell a fault of the zone from faults of single machines. */
    TOO_FEW,
    /** Too few machines are silent and too few are reporting, as in the first seconds of a leader's term. */
    UNDECIDED,
    /** Nearly all machines are reporting. */
    REPORTING,
    /** Some machines are silent, but fewer than make a zone suspect. */
    PARTLY_SILENT,
    /** Most machines are silent; or the zone as a whole is, but the fault may be the leader's own. */
    MOSTLY_SILENT,
    /** The zone as a whole is silent, and the fault is attributed to the zone. */
    SILENT;

    /**
     * Returns the evidence that the counts of a zone give.
     *
     * @param silenceAttributable whether silence can be a fault of the zone: other zones report, and the silent workers do
     *     not report to peers
     */
    public static ZoneEvidence of(ZoneCounts counts, boolean silenceAttributable, ZoneThresholds thresholds) {
        int machines = counts.machines();
        if (machines < thresholds.minMachines()) {
            return TOO_FEW;
        }
        if (counts.silent() >= machines * thresholds.lostShare()) {
            return silenceAttributable ? SILENT : MOSTLY_SILENT;
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
