package org.mountlug.core.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which evidence, lasting how long, moves a zone from one state to the next. */
class ZoneTrackerTest {
    private static final int MACHINES = 20;
    private static final ZoneThresholds THRESHOLDS = new ZoneThresholds(3, 0.5, 0.8, 0.25, 0.5, 3, 4, 60, 120);
    private static final RampSettings LIMITS = new RampSettings(0.1, 0.2, 0.5);

    private final ZoneTracker tracker = new ZoneTracker("a", THRESHOLDS, LIMITS, 0);
    private double nowS;
    private long succeeded;

    static ZoneCounts counts(int machines, int heard, int silent) {
        return new ZoneCounts(machines, machines, heard, silent, silent);
    }

    /** Shows so many machines silent, all others heard, once a second for so many seconds. */
    private void show(int silent, double seconds) {
        ZoneCounts counts = counts(MACHINES, MACHINES - silent, silent);
        ZoneEvidence evidence = ZoneEvidence.of(counts, true, THRESHOLDS);
        for (double end = nowS + seconds; nowS < end; nowS++) {
            succeeded++;
            tracker.observe(evidence, counts, new ZoneStarts(succeeded, 0, 0), true, nowS);
        }
    }

    /** A script names how many of 20 machines are silent and for how many seconds. */
    @ParameterizedTest(name = "{0} -> {1}")
    @CsvSource({
        "0x5, PRESENT",
        "1x60, PRESENT", // a machine or two that end by themselves
        "10x60, PRESENT", // half of the zone is no zone
        "11x1, SUSPECT",
        "15x300, SUSPECT", // a part that is cut off, however long, is not called lost
        "20x3, SUSPECT",
        "20x5, LOST",
        "11x2 8x60, SUSPECT", // left at a lower share than entered
        "11x2 5x1, PRESENT",
        "20x5 0x3, LOST",
        "20x5 0x5, RETURNING",
        "20x5 10x5, RETURNING", // half of it comes back
        "20x5 11x60, LOST",
        "20x5 0x2 20x2 0x3, LOST", // what was heard before a second silence counts for nothing
        "20x5 0x20, PRESENT",
        "20x5 0x5 20x1, LOST",
        "20x5 10x60, RETURNING"
    })
    void evidenceMovesAZone(String script, ZoneState expected) {
        for (String step : script.split(" ")) {
            String[] parts = step.split("x");
            show(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
        }
        assertEquals(expected, tracker.state());
    }

    @ParameterizedTest(name = "{0} machines, {1} heard, {2} silent, attributable {3}")
    @CsvSource({
        "2, 0, 2, true, TOO_FEW",
        "3, 0, 3, true, SILENT",
        "3, 0, 3, false, MOSTLY_SILENT",
        "20, 4, 16, true, SILENT",
        "20, 5, 15, true, MOSTLY_SILENT",
        "20, 0, 0, true, UNDECIDED", // a leader that has just begun hears nobody and knows of no silence
        "20, 12, 8, true, PARTLY_SILENT",
        "20, 15, 5, true, REPORTING"
    })
    void countsAreJudged(int machines, int heard, int silent, boolean attributable, ZoneEvidence expected) {
        assertEquals(expected, ZoneEvidence.of(counts(machines, heard, silent), attributable, THRESHOLDS));
    }

    /** Each loss doubles the time for which the zone must be heard, up to a bound; calm takes it back. */
    @Test
    void lossesDampAReturnAndCalmForgetsThem() {
        double[] expected = {4, 8, 16, 32, 60, 60, 60};
        for (double seconds : expected) {
            show(20, 5);
            assertEquals(ZoneState.LOST, tracker.state());
            assertEquals(seconds, tracker.returnAfterS());
            show(0, seconds + 1);
            assertEquals(ZoneState.RETURNING, tracker.state(), "after " + seconds);
        }
        int losses = tracker.recentLosses();
        show(0, THRESHOLDS.lossExpiryS() + 1);
        assertEquals(losses - 1, tracker.recentLosses());
        show(0, losses * THRESHOLDS.lossExpiryS());
        assertEquals(0, tracker.recentLosses());
    }

    /** A later leader goes on from a snapshot as the first would have, through the rest of a return and the next loss. */
    @ParameterizedTest(name = "handed over after {0} s")
    @CsvSource({"6", "8", "11", "13", "16", "40"})
    void aSnapshotContinuesWhereItWasTaken(int at) {
        ZoneTracker other = null;
        for (nowS = 0; nowS < 120; nowS++) {
            int silent = nowS >= 1 && nowS < 7 || nowS >= 30 && nowS < 37 ? MACHINES : 0;
            ZoneCounts counts = counts(MACHINES, MACHINES - silent, silent);
            ZoneEvidence evidence = ZoneEvidence.of(counts, true, THRESHOLDS);
            ZoneStarts starts = new ZoneStarts(0, 0, 0);
            tracker.observe(evidence, counts, starts, true, nowS);
            if (other != null) {
                other.observe(evidence, counts, starts, true, nowS);
            }
            if (nowS == at) {
                other = new ZoneTracker(tracker.snapshot(nowS), THRESHOLDS, LIMITS, nowS);
                assertEquals(tracker.state(), other.state());
                assertEquals(tracker.returnAfterS(), other.returnAfterS());
                assertEquals(tracker.maxSilentMachines(), other.maxSilentMachines());
                if (tracker.ramp() != null) {
                    assertEquals(tracker.ramp().window(), other.ramp().window());
                }
            }
        }
        // A dwell that was under way begins anew and a ramp takes its first step to look: seconds, no more.
        assertEquals(tracker.state(), other.state());
        assertEquals(tracker.recentLosses(), other.recentLosses());
    }
}
