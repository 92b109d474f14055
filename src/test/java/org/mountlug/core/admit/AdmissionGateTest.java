package org.mountlug.core.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.Constants;

/** One controller's gate and the leader's planner, without anything round them. */
class AdmissionGateTest {
    private static final long NOW_MS = 1_800_000_000_000L;
    private static final QueueId FLOODED = new QueueId("a", "l");
    private static final QueueId QUIET = new QueueId("b", "l");

    private static AdmissionGate gate(double changesPerS) {
        return new AdmissionGate(
                AdmissionSettings.defaults(),
                new AdmissionGate.Deployment(Map.of("a", 1.0, "b", 1.0), 1, changesPerS, 0));
    }

    private static AdmissionTable standingStill(long issuedMs) {
        CursorSchedule schedule = CursorSchedule.starting(issuedMs, new long[] {0, 0, 0, 0, 0, 0});
        return new AdmissionTable(issuedMs, 5, Map.of(FLOODED, schedule));
    }

    /** A view that nothing has confirmed for long decides nothing, and a table that outlived its leader limits nobody. */
    @ParameterizedTest(name = "view {0} s old, table {1} s old")
    @CsvSource({"0, 0, defer", "14.9, 10, defer", "15.1, 10, undecided", "0, 29, defer", "0, 31, admit"})
    void aStaleViewDoesNotGuess(double viewS, long tableS, String expected) {
        AdmissionGate gate = gate(25);
        gate.updateTable(standingStill(NOW_MS - tableS * 1000), 100);
        AdmissionDecision decision = gate.decide(FLOODED, "wk-000001", NOW_MS, 100 + viewS);
        switch (expected) {
            case "defer" -> assertInstanceOf(AdmissionDecision.Defer.class, decision);
            case "undecided" -> assertInstanceOf(AdmissionDecision.RetryLater.class, decision);
            default -> assertInstanceOf(AdmissionDecision.Admit.class, decision);
        }
    }

    @Test
    void aGateThatHasSeenNoTableDecidesNothing() {
        assertInstanceOf(AdmissionDecision.RetryLater.class, gate(25).decide(QUIET, "wk-000001", NOW_MS, 0));
    }

    /** Those whose turn is far off are not all told the same time, and none is told more than users wait. */
    @Test
    void answersAreSpreadInTime() {
        AdmissionGate gate = gate(25);
        gate.updateTable(standingStill(NOW_MS), 0);
        TreeSet<Integer> told = new TreeSet<>();
        for (int i = 0; i < 200; i++) {
            AdmissionDecision decision = gate.decide(FLOODED, "wk-" + (100_000 + i), NOW_MS, 0);
            told.add(assertInstanceOf(AdmissionDecision.Defer.class, decision).retryAfterS());
        }
        assertEquals(Constants.Admission.RETRY_AFTER_SPREAD_S, told.size());
        assertTrue(told.last() <= Constants.Admission.MAX_RETRY_AFTER_S, told.toString());
    }

    /** Cancellations go ahead: submissions wait until the changes that they cost are paid. */
    @Test
    void submissionsWaitForCancellations() {
        AdmissionGate gate = gate(10);
        gate.updateTable(AdmissionTable.empty(), 0);
        int withoutThem = admitted(gate, 0);
        for (int i = 0; i < 50; i++) {
            gate.chargeCancellation(NOW_MS, 10);
        }
        assertTrue(admitted(gate, 10) < withoutThem);
    }

    private static int admitted(AdmissionGate gate, double nowS) {
        int admitted = 0;
        for (int i = 0; i < 50; i++) {
            AdmissionDecision decision = gate.decide(FLOODED, "wk-" + (100_000 + i), NOW_MS, nowS);
            admitted += decision instanceof AdmissionDecision.Admit ? 1 : 0;
        }
        return admitted;
    }

    /** Limited are queues that are asked beyond their part and of which some were turned away; others stay open. */
    @ParameterizedTest(name = "a asks {0} and b {1} a second, {2} of a turned away")
    @CsvSource({"30, 1, 20, true", "30, 1, 0, false", "2, 1, 1, false", "30, 30, 20, true"})
    void onlyFloodedQueuesAreLimited(int asksOfA, int asksOfB, int refused, boolean limited) {
        AdmissionPlanner planner = new AdmissionPlanner(Map.of(), 1);
        AdmissionCapacity budget = new AdmissionCapacity(25, 18);
        AdmissionTable table = AdmissionTable.empty();
        for (int second = 1; second <= 12; second++) {
            planner.observeDemand(
                    "c-0",
                    7,
                    List.of(
                            new QueueDemand(FLOODED, asksOfA * second, asksOfA * second, refused * second),
                            new QueueDemand(QUIET, asksOfB * second, asksOfB * second, 0)),
                    second);
            budget.observeLeaderWrites(0, true, second);
            table = planner.plan(budget, true, NOW_MS + second * 1000L, second);
        }
        assertEquals(limited, table.schedules().containsKey(FLOODED));
        assertNull(table.schedules().get(QUIET), "nobody of b was turned away");
        assertEquals(limited ? 1 : 0, planner.drainTransitions().size());
    }

    /** The counts of a controller's new process are its own, and a controller that is not heard counts like the others. */
    @Test
    void demandIsReckonedFromWhatIsHeard() {
        AdmissionPlanner planner = new AdmissionPlanner(Map.of(), 2);
        AdmissionCapacity budget = new AdmissionCapacity(25, 18);
        for (int second = 1; second <= 15; second++) {
            int asked = 20 * second;
            planner.observeDemand(
                    "c-0", second < 4 ? 7 : 8, List.of(new QueueDemand(FLOODED, asked, asked, asked)), second);
            planner.plan(budget, true, NOW_MS + second * 1000L, second);
        }
        double askedPerS = planner.drainTransitions().get(0).submissionsPerS();
        assertTrue(askedPerS > 25 && askedPerS <= 41, askedPerS + " of 40 a second");
    }
}
