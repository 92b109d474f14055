package org.mountlug.core.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a ramp's window starts small, grows by addition, is halved at once, and never exceeds the reporting machines. */
class ReturnRampTest {
    private static final RampSettings SETTINGS = new RampSettings(0.05, 0.1, 0.25);

    private final ReturnRamp ramp = ReturnRamp.start(SETTINGS, 100, new ZoneStarts(0, 0, 0));
    private long succeeded;
    private long lost;
    private double nowS;

    private void step(int reporting, int late, int inProgress) {
        ramp.step(
                new ZoneCounts(100, 100, reporting, late, 0),
                new ZoneStarts(succeeded, lost, inProgress),
                true,
                nowS++);
    }

    @Test
    void growsByAShareOfTheMachinesEachSecond() {
        assertEquals(5, ramp.window());
        for (int seconds = 1; seconds <= 9; seconds++) {
            step(100, 0, 0);
            assertEquals(5 + 10 * seconds, ramp.window());
            assertFalse(ramp.isFull());
        }
        step(100, 0, 0);
        assertEquals(100, ramp.window());
        assertTrue(ramp.isFull());
        assertEquals(25, ramp.maxDownloads());
    }

    /** The window does not grow while starts are in progress and none succeeds; a single lost start halves it. */
    @ParameterizedTest(name = "{0} succeeded, {1} lost, {2} late, {3} in progress: window {4}")
    @CsvSource({
        "0, 0, 0, 0, 55", // no starts: the window grows without successes
        "0, 0, 0, 1, 45", // a start in progress and no success
        "3, 0, 0, 45, 55",
        "3, 1, 0, 0, 22.5",
        "0, 0, 11, 0, 22.5", // more late machines than by independent failures
        "0, 0, 10, 0, 55"
    })
    void startsAndLateMachinesChangeTheWindow(int newSucceeded, int newLost, int late, int inProgress, double window) {
        for (int i = 0; i < 4; i++) {
            step(100, 0, 0);
        }
        assertEquals(45, ramp.window());
        succeeded += newSucceeded;
        lost += newLost;
        step(100, late, inProgress);
        assertEquals(window, ramp.window());
    }

    @Test
    void staysBetweenOneAndTheReportingMachines() {
        for (int i = 0; i < 20; i++) {
            lost++;
            step(100, 0, 0);
        }
        assertEquals(1, ramp.window());
        for (int i = 0; i < 20; i++) {
            step(30, 0, 0);
        }
        assertEquals(30, ramp.window());
    }

    /** Two allocation rounds within a second count as one step. */
    @Test
    void takesAtMostOneStepASecond() {
        double initialWindow = ramp.window();
        step(100, 0, 0);
        assertEquals(initialWindow + 10, ramp.window());
        nowS = 0.4;
        step(100, 0, 0);
        assertEquals(initialWindow + 10, ramp.window());
    }
}
