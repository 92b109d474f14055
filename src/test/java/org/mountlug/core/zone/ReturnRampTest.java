package org.mountlug.core.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The window of a returning zone: begins small, grows by addition, is halved at once, and never passes the machines heard. */
class ReturnRampTest {
    private static final RampSettings LIMITS = new RampSettings(0.05, 0.1, 0.25);

    private final ReturnRamp ramp = ReturnRamp.start(LIMITS, 100, new ZoneStarts(0, 0, 0));
    private long succeeded;
    private long lost;
    private double nowS;

    private void step(int heard, int quiet, int underWay) {
        ramp.step(new ZoneCounts(100, 100, heard, quiet, 0), new ZoneStarts(succeeded, lost, underWay), true, nowS++);
    }

    @Test
    void growsByAPartOfTheMachinesASecond() {
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

    /** Whatever is used up and gets nowhere does not grow; one start that came to nothing halves. */
    @ParameterizedTest(name = "{0} succeeded, {1} lost, {2} quiet, {3} under way")
    @CsvSource({
        "0, 0, 0, 0, 55", // nothing to do: calm alone lets it grow
        "0, 0, 0, 1, 45", // under way and none begun
        "3, 0, 0, 45, 55",
        "3, 1, 0, 0, 22.5",
        "0, 0, 11, 0, 22.5", // machines fall quiet together
        "0, 0, 10, 0, 55"
    })
    void oneStep(int newSucceeded, int newLost, int quiet, int underWay, double window) {
        for (int i = 0; i < 4; i++) {
            step(100, 0, 0);
        }
        assertEquals(45, ramp.window());
        succeeded += newSucceeded;
        lost += newLost;
        step(100, quiet, underWay);
        assertEquals(window, ramp.window());
    }

    @Test
    void neverBelowOneNorAboveTheMachinesHeard() {
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

    /** Two rounds within a second are one step. */
    @Test
    void roundsThatComeEarlyAreNoSteps() {
        double before = ramp.window();
        step(100, 0, 0);
        assertEquals(before + 10, ramp.window());
        nowS = 0.4;
        step(100, 0, 0);
        assertEquals(before + 10, ramp.window());
    }
}
