package org.mountlug.core.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which evidence changes a zone's state, and how long the evidence must last. */
class ZoneTrackerTest {
    private static final int MACHINES = 20;
    private static final ZoneThresholds THRESHOLDS = new ZoneThresholds(3, 0.5, 0.8, 0.25, 0.5, 3, 4, 60, 120);
    private static final RampSettings RAMP_SETTINGS = new RampSettings(0.1, 0.2, 0.5);

    private final ZoneTracker tracker = new ZoneTracker("a", THRESHOLDS, RAMP_SETTINGS, 0);
    private double nowS;
    private long succeeded;

    static ZoneCounts counts(int machines, int reporting, int silent) {
        return new ZoneCounts(machines, machines, reporting, silent, silent);
    }

    /** Observes the zone once a second for some time, with this number of silent machines and all others reporting. */
    private void observeFor(int silent, double durationS) {
        ZoneCounts counts = counts(MACHINES, MACHINES - silent, silent);
        ZoneEvidence evidence = ZoneEvidence.of(counts, true, THRESHOLDS);
        for (double endS = nowS + durationS; nowS < endS; nowS++) {
            succeeded++;
            tracker.observe(evidence, counts, new ZoneStarts(succeeded, 0, 0), true, nowS);
        }
    }

    /** Each step of a script gives the number of silent machines out of 20, and the seconds for which they are silent. */
    @ParameterizedTest(name = "{0} -> {1}")
    @CsvSource({
        "0x5, PRESENT",
        "1x60, PRESENT", // failures of single machines
        "10x60, PRESENT", // half of the machines do not make the zone suspect
        "11x1, SUSPECT",
        "15x300, SUSPECT", // a zone that is only partly silent is never lost
        "20x3, SUSPECT",
        "20x5, LOST",
        "11x2 8x60, SUSPECT", // the share for leaving SUSPECT is lower than that for entering
        "11x2 5x1, PRESENT",
        "20x5 0x3, LOST",
        "20x5 0x5, RETURNING",
        "20x5 10x5, RETURNING", // half of the machines report again
        "20x5 11x60, LOST",
        "20x5 0x2 20x2 0x3, LOST", // a second silence restarts the required time
        "20x5 0x20, PRESENT",
        "20x5 0x5 20x1, LOST",
        "20x5 10x60, RETURNING"
    })
    void lastingEvidenceChangesTheState(String script, ZoneState expected) {
        for (String step : script.split(" ")) {
            String[] parts = step.split("x");
            observeFor(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
        }
        assertEquals(expected, tracker.state());
    }

    @ParameterizedTest(name = "{0} machines, {1} reporting, {2} silent, attributable {3}: {4}")
    @CsvSource({
        "2, 0, 2, true, TOO_FEW",
        "3, 0, 3, true, SILENT",
        "3, 0, 3, false, MOSTLY_SILENT",
        "20, 4, 16, true, SILENT",
        "20, 5, 15, true, MOSTLY_SILENT",
        "20, 0, 0, true, UNDECIDED", // a new leader has received no report yet
        "20, 12, 8, true, PARTLY_SILENT",
        "20, 15, 5, true, REPORTING"
    })
    void derivesEvidenceFromCounts(
            int machines, int reporting, int silent, boolean silenceAttributable, ZoneEvidence expected) {
        assertEquals(expected, ZoneEvidence.of(counts(machines, reporting, silent), silenceAttributable, THRESHOLDS));
    }

    /** Each loss doubles the time for which the zone must be reporting, up to a bound; losses expire one by one. */
    @Test
    void lossesDelayAReturnUntilTheyExpire() {
        double[] expected = {4, 8, 16, 32, 60, 60, 60};
        for (double durationS : expected) {
            observeFor(20, 5);
            assertEquals(ZoneState.LOST, tracker.state());
            assertEquals(durationS, tracker.returnAfterS());
            observeFor(0, durationS + 1);
            assertEquals(ZoneState.RETURNING, tracker.state(), "after " + durationS);
        }
        int losses = tracker.recentLosses();
        observeFor(0, THRESHOLDS.lossExpiryS() + 1);
        assertEquals(losses - 1, tracker.recentLosses());
        observeFor(0, losses * THRESHOLDS.lossExpiryS());
        assertEquals(0, tracker.recentLosses());
    }

    /** A later leader that starts from a snapshot ends in the same state as the first, after a return and another loss. */
    @ParameterizedTest(name = "snapshot taken after {0} s")
    @CsvSource({"6", "8", "11", "13", "16", "40"})
    void aLaterLeaderContinuesFromASnapshot(int handoverS) {
        ZoneTracker restored = null;
        for (nowS = 0; nowS < 120; nowS++) {
            int silent = nowS >= 1 && nowS < 7 || nowS >= 30 && nowS < 37 ? MACHINES : 0;
            ZoneCounts counts = counts(MACHINES, MACHINES - silent, silent);
            ZoneEvidence evidence = ZoneEvidence.of(counts, true, THRESHOLDS);
            ZoneStarts starts = new ZoneStarts(0, 0, 0);
            tracker.observe(evidence, counts, starts, true, nowS);
            if (restored != null) {
                restored.observe(evidence, counts, starts, true, nowS);
            }
            if (nowS == handoverS) {
                restored = new ZoneTracker(tracker.snapshot(nowS), THRESHOLDS, RAMP_SETTINGS, nowS);
                assertEquals(tracker.state(), restored.state());
                assertEquals(tracker.returnAfterS(), restored.returnAfterS());
                assertEquals(tracker.maxSilentMachines(), restored.maxSilentMachines());
                if (tracker.ramp() != null) {
                    assertEquals(tracker.ramp().window(), restored.ramp().window());
                }
            }
        }
        // The required time of evidence starts anew and a restored ramp cannot grow in its first step, so the later
        // leader may lag by some seconds.
        assertEquals(tracker.state(), restored.state());
        assertEquals(tracker.recentLosses(), restored.recentLosses());
    }
}
