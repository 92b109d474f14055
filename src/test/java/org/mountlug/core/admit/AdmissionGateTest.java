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

/** Tests one controller's gate and the leader's planner in isolation. */
class AdmissionGateTest {
    private static final long NOW_MS = 1_800_000_000_000L;
    private static final QueueId FLOODED_QUEUE = new QueueId("a", "l");
    private static final QueueId QUIET_QUEUE = new QueueId("b", "l");

    private static AdmissionGate gate(double writesPerS) {
        return new AdmissionGate(
                AdmissionSettings.defaults(),
                new AdmissionGate.Deployment(Map.of("a", 1.0, "b", 1.0), 1, writesPerS, 0));
    }

    private static AdmissionTable tableWithStoppedCursor(long issuedMs) {
        CursorSchedule schedule = CursorSchedule.starting(issuedMs, new long[] {0, 0, 0, 0, 0, 0});
        return new AdmissionTable(issuedMs, 5, Map.of(FLOODED_QUEUE, schedule));
    }

    /**
     * Guards against decisions by outdated tables. A gate whose table has not been confirmed for too long decides
     * nothing, and a table that is older than its time to live, as its leader has ended, limits no queue.
     */
    @ParameterizedTest(name = "confirmed {0} s ago, published {1} s ago: {2}")
    @CsvSource({"0, 0, defer", "14.9, 10, defer", "15.1, 10, undecided", "0, 29, defer", "0, 31, admit"})
    void staleTableDecidesNothingAndExpiredTableLimitsNoQueue(
            double sinceConfirmationS, long tableAgeS, String expected) {
        AdmissionGate gate = gate(25);
        gate.updateTable(tableWithStoppedCursor(NOW_MS - tableAgeS * 1000), 100);
        AdmissionDecision decision = gate.decide(FLOODED_QUEUE, "wk-000001", NOW_MS, 100 + sinceConfirmationS);
        switch (expected) {
            case "defer" -> assertInstanceOf(AdmissionDecision.Defer.class, decision);
            case "undecided" -> assertInstanceOf(AdmissionDecision.RetryLater.class, decision);
            default -> assertInstanceOf(AdmissionDecision.Admit.class, decision);
        }
    }

    @Test
    void gateWithoutTableDecidesNothing() {
        assertInstanceOf(AdmissionDecision.RetryLater.class, gate(25).decide(QUIET_QUEUE, "wk-000001", NOW_MS, 0));
    }

    /**
     * Guards against users returning all at the same time. Retry times of submissions whose turn is far off are
     * spread, and none exceeds the longest time that users wait.
     */
    @Test
    void retryTimesAreSpread() {
        AdmissionGate gate = gate(25);
        gate.updateTable(tableWithStoppedCursor(NOW_MS), 0);
        TreeSet<Integer> retryTimes = new TreeSet<>();
        for (int i = 0; i < 200; i++) {
            AdmissionDecision decision = gate.decide(FLOODED_QUEUE, "wk-" + (100_000 + i), NOW_MS, 0);
            retryTimes.add(
                    assertInstanceOf(AdmissionDecision.Defer.class, decision).retryAfterS());
        }
        assertEquals(Constants.Admission.RETRY_AFTER_SPREAD_S, retryTimes.size());
        assertTrue(retryTimes.last() <= Constants.Admission.MAX_RETRY_AFTER_S, retryTimes.toString());
    }

    /** Cancellations do not wait for tokens: submissions wait until the writes of cancellations are paid for. */
    @Test
    void cancellationsReduceAdmittedSubmissions() {
        AdmissionGate gate = gate(10);
        gate.updateTable(AdmissionTable.empty(), 0);
        int admittedWithoutCancellations = countAdmitted(gate, 0);
        for (int i = 0; i < 50; i++) {
            gate.chargeCancellation(NOW_MS, 10);
        }
        assertTrue(countAdmitted(gate, 10) < admittedWithoutCancellations);
    }

    private static int countAdmitted(AdmissionGate gate, double nowS) {
        int admitted = 0;
        for (int i = 0; i < 50; i++) {
            AdmissionDecision decision = gate.decide(FLOODED_QUEUE, "wk-" + (100_000 + i), NOW_MS, nowS);
            admitted += decision instanceof AdmissionDecision.Admit ? 1 : 0;
        }
        return admitted;
    }

    /** Only queues are limited that receive more submissions than their share and had some of them throttled. */
    @ParameterizedTest(name = "a receives {0} and b {1} per second, {2} of a throttled")
    @CsvSource({"30, 1, 20, true", "30, 1, 0, false", "2, 1, 1, false", "30, 30, 20, true"})
    void onlyFloodedQueuesAreLimited(int submissionsOfA, int submissionsOfB, int throttledOfA, boolean expectLimited) {
        AdmissionPlanner planner = new AdmissionPlanner(Map.of(), 1);
        AdmissionCapacity capacity = new AdmissionCapacity(25, 18);
        AdmissionTable table = AdmissionTable.empty();
        for (int second = 1; second <= 12; second++) {
            planner.observeDemand(
                    "c-0",
                    7,
                    List.of(
                            new QueueDemand(
                                    FLOODED_QUEUE,
                                    submissionsOfA * second,
                                    submissionsOfA * second,
                                    throttledOfA * second),
                            new QueueDemand(QUIET_QUEUE, submissionsOfB * second, submissionsOfB * second, 0)),
                    second);
            capacity.observeLeaderWrites(0, true, second);
            table = planner.plan(capacity, true, NOW_MS + second * 1000L, second);
        }
        assertEquals(expectLimited, table.schedules().containsKey(FLOODED_QUEUE));
        assertNull(table.schedules().get(QUIET_QUEUE), "queue b had no throttled submissions");
        assertEquals(expectLimited ? 1 : 0, planner.drainTransitions().size());
    }

    /**
     * The counts of a restarted controller process are not compared with those of the earlier one, and a controller
     * that sends no counts is assumed to receive as many submissions as the others.
     */
    @Test
    void demandIsExtrapolatedFromReportingControllers() {
        AdmissionPlanner planner = new AdmissionPlanner(Map.of(), 2);
        AdmissionCapacity capacity = new AdmissionCapacity(25, 18);
        for (int second = 1; second <= 15; second++) {
            int submissions = 20 * second;
            planner.observeDemand(
                    "c-0",
                    second < 4 ? 7 : 8,
                    List.of(new QueueDemand(FLOODED_QUEUE, submissions, submissions, submissions)),
                    second);
            planner.plan(capacity, true, NOW_MS + second * 1000L, second);
        }
        double submissionsPerS = planner.drainTransitions().get(0).submissionsPerS();
        assertTrue(submissionsPerS > 25 && submissionsPerS <= 41, submissionsPerS + " of 40 submissions per second");
    }
}
