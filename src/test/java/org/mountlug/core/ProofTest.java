package org.mountlug.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.Samples.TOKEN;
import static org.mountlug.Samples.item;
import static org.mountlug.Samples.report;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.Samples;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Cause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Order;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.TaskState;
import org.mountlug.core.model.Urgency;
import org.mountlug.core.scale.Listed;

/** A task leaves its place only with a proof: each case guards against a task running twice or after its abort. */
class ProofTest {
    private final Cluster c = Samples.cluster();
    private final Machine m = Samples.up(c, "n-1", "small", "a");
    private final Job j = Samples.live(c, Samples.array("wk-000001", 2));

    private void place() {
        c.place(j, 0, ++j.attempts, m, 0);
        j.touch(0, true);
    }

    private List<String> sendReport(long session, long seq, Report.Item... items) {
        return Samples.verbs(c.report(report("n-1", "small", "a", session, seq, TOKEN, items), true, seq));
    }

    @Test
    void startLeavesOnlyOnceDurable() {
        place();
        assertEquals(List.of(), sendReport(1, 2));
        Samples.persist(j);
        assertEquals(List.of("START wk-000001/0#1"), sendReport(1, 3));
    }

    @Test
    void startThatANewerReportLacksGoesOutAgainAndKeepsItsPlace() {
        place();
        Samples.persist(j);
        sendReport(1, 2);
        assertEquals(List.of("START wk-000001/0#1"), sendReport(1, 3));
        assertEquals(1, j.placed.size());
    }

    @Test
    void aReportHeldBackOnItsWayProvesNothing() {
        place();
        Samples.persist(j);
        sendReport(1, 5);
        sendReport(1, 6, item("wk-000001", 0, 1, TaskState.RUNNING, Cause.NONE));
        assertEquals(List.of(), sendReport(1, 4));
        assertEquals(1, j.placed.size());
    }

    /** Whoever answers renews the lease, so what is cancelled stops with the first answer, whatever token came before. */
    @ParameterizedTest(name = "token {0} below ours, attempt {1}, {2}, cancelled {3}")
    @CsvSource({
        "1, 1, RUNNING, true, STOP",
        "1, 1, WAITING, true, STOP",
        "1, 1, EXITED, true, ''",
        "1, 2, RUNNING, true, ''",
        "1, 1, RUNNING, false, ''",
        "0, 1, RUNNING, true, STOP"
    })
    void aCancelledTaskStopsWithTheFirstAnswer(
            int below, long attempt, TaskState state, boolean cancelled, String order) {
        place();
        Samples.persist(j);
        j.placed.get(0).seen = true;
        if (cancelled) {
            c.cancelled(j, 1);
        }
        List<Order> o = c.report(
                report(
                        "n-1",
                        "small",
                        "a",
                        1,
                        9,
                        TOKEN - below,
                        item("wk-000001", 0, attempt, state, state == TaskState.EXITED ? Cause.ERROR : Cause.NONE)),
                true,
                3);
        assertEquals(order.isEmpty() ? List.of() : List.of("STOP wk-000001/0#1"), Samples.verbs(o));
    }

    /** A report that direct orders' answer has overtaken may be the one its worker waits for: its answer renews the lease. */
    @ParameterizedTest(name = "sequence {0} of session {1}")
    @CsvSource({"5, 1, true", "4, 1, false", "3, 1, false", "5, 0, false"})
    void anOvertakenReportCountsAsAnswered(long sequence, long session, boolean counts) {
        place();
        Samples.persist(j);
        sendReport(1, 4, item("wk-000001", 0, 1, TaskState.RUNNING, Cause.NONE));
        c.carriedOut(
                m,
                report("n-1", "small", "a", 1, 6, TOKEN, item("wk-000001", 0, 1, TaskState.RUNNING, Cause.NONE)),
                List.of(),
                4.5);
        double before = m.answeredS;
        c.report(report("n-1", "small", "a", session, sequence, TOKEN), true, 7);
        assertEquals(counts ? 7 : before, m.answeredS);
        assertEquals(1, j.placed.size());
    }

    @Test
    void aReportUnderAnOlderTokenProvesNothing() {
        place();
        Samples.persist(j);
        List<Order> o = c.report(report("n-1", "small", "a", 2, 9, TOKEN - 1), true, 3);
        assertEquals(List.of(), o);
        assertEquals(1, j.placed.size());
        assertFalse(m.synced);
    }

    @Test
    void aReportUnderAHigherTokenDeposes() {
        assertNull(c.report(report("n-1", "small", "a", 1, 9, TOKEN + 1), true, 3));
    }

    @Test
    void aLaterSessionIsAProof() {
        place();
        Samples.persist(j);
        sendReport(1, 2);
        sendReport(2, 3);
        assertTrue(j.placed.isEmpty());
    }

    @ParameterizedTest(name = "answered {0} s ago, synced {1}: gone {2}")
    @CsvSource({"9, true, false", "10.2, true, false", "11, true, true", "11, false, false", "60, false, false"})
    void leaseIsAProofOnlyUnderOurTokenAndWithDrift(double ago, boolean synced, boolean gone) {
        place();
        m.answeredS = 100;
        m.synced = synced;
        c.expireLeases(100 + ago);
        assertEquals(gone, j.placed.isEmpty());
    }

    @Test
    void theListProvesOnlyFailures() {
        place();
        c.listed(List.of(), 10, 50);
        assertEquals(1, j.placed.size());
        c.listed(List.of(new Listed("n-1", "x", "small", "a", false, Listed.Status.FAILED, 9)), 10, 51);
        assertTrue(j.placed.isEmpty());
    }

    /** The list lags and may be older than the one before, but what it has shown it shows until that is gone. */
    @ParameterizedTest(name = "listed at {0}, missing at {1}: unlisted {2}")
    @CsvSource({"0, 15, false", "0, 21, true", "-1, 60, false"})
    void aMachineIsUnlistedOnlyAfterTheLag(double listed, double missing, boolean unlisted) {
        if (listed >= 0) {
            c.listed(List.of(new Listed("n-1", "x", "small", "a", false, Listed.Status.RUNNING, 9)), 10, listed);
        }
        c.listed(List.of(), 10, missing);
        assertEquals(unlisted, m.unlisted);
    }

    @Test
    void forgetWaitsUntilTheOutcomeIsDurable() {
        place();
        Samples.persist(j);
        sendReport(1, 2);
        Report.Item done = item("wk-000001", 0, 1, TaskState.EXITED, Cause.DONE);
        assertEquals(List.of(), sendReport(1, 3, done));
        assertTrue(j.done.get(0));
        assertEquals(List.of(), sendReport(1, 4, done));
        Samples.persist(j);
        assertEquals(List.of("FORGET wk-000001/0#1"), sendReport(1, 5, done));
    }

    @Test
    void abortStopsWhatWasSentAndDropsWhatWasNot() {
        place();
        Samples.persist(j);
        sendReport(1, 2);
        c.place(j, 1, ++j.attempts, m, 2);
        j.touch(2, true);
        c.cancelled(j, 3);
        assertEquals(1, j.placed.size());
        assertEquals(
                List.of("STOP wk-000001/0#1"),
                sendReport(1, 3, item("wk-000001", 0, 1, TaskState.RUNNING, Cause.NONE)));
        assertFalse(j.over());
        sendReport(1, 4, item("wk-000001", 0, 1, TaskState.EXITED, Cause.STOPPED));
        assertTrue(j.over());
    }

    @Test
    void aStandbyStartsInTheAnswerThatShowsItsRoomFreeAndNotBefore() {
        Job big = Samples.live(
                c, Samples.spec("wk-000002", false, 2, m.type.size(), org.mountlug.core.model.Urgency.HIGH));
        c.place(big, 0, ++big.attempts, m, 0);
        big.touch(0, true);
        Samples.persist(big);
        sendReport(1, 2);
        c.place(big, 1, ++big.attempts, m, 2).standby = true;
        big.touch(2, true);
        Samples.persist(big);
        assertEquals(List.of(), sendReport(1, 3, item("wk-000002", 0, 1, TaskState.RUNNING, Cause.NONE)));
        assertEquals(
                List.of("START wk-000002/1#2"),
                sendReport(1, 4, item("wk-000002", 0, 1, TaskState.EXITED, Cause.DONE)));
    }

    @Test
    void aStandbyThatWaitedTooLongGoesBackToItsQueue() {
        Job big = Samples.live(
                c, Samples.spec("wk-000002", false, 2, m.type.size(), org.mountlug.core.model.Urgency.HIGH));
        c.place(big, 0, ++big.attempts, m, 0);
        c.place(big, 1, ++big.attempts, m, 0).standby = true;
        c.reviewStandbys(5);
        assertEquals(2, big.placed.size());
        c.reviewStandbys(30);
        assertEquals(1, big.placed.size());
    }

    @Test
    void imagesOfAnEarlierTermAreExpectedOnceTheMachineIsHeardOf() {
        c.expectImages("n-5", List.of("img"));
        assertEquals(java.util.Set.of("img"), Samples.up(c, "n-5", "small", "a").images);
    }

    /** Found by a day of other luck: told cancelled, then the last task completed and the record said done. */
    @Test
    void aCancelledJobNeverEndsAsDone() {
        j.done.set(1);
        place();
        Samples.persist(j);
        sendReport(1, 2);
        c.cancelled(j, 3);
        sendReport(1, 3, item("wk-000001", 0, 1, TaskState.EXITED, Cause.DONE));
        assertTrue(j.complete() && j.over());
        assertFalse(j.endsAsDone());
    }

    @Test
    void whatNoRecordPlacesHereIsStoppedAndBlocksTheMachine() {
        assertEquals(
                List.of("STOP wk-000009/3#4"),
                sendReport(1, 2, item("wk-000009", 3, 4, TaskState.RUNNING, Cause.NONE)));
        assertFalse(m.empty());
    }

    @Test
    void aReturnedMachineDoesNotComeBackByALateReportOrTheLaggingList() {
        c.machineGone("n-1", 5, "returned");
        sendReport(1, 9);
        c.listed(List.of(new Listed("n-1", "x", "small", "a", false, Listed.Status.RUNNING, 9)), 10, 6);
        assertTrue(c.machines.isEmpty());
    }

    @Test
    void aFinishedJobIsNotBroughtBackByALateWatch() {
        c.finished(j, 50);
        Job late = new Job(j.spec);
        late.stamp = 49;
        c.load(late, 6);
        assertTrue(c.jobs.isEmpty());
    }

    @Test
    void aJobThatFailsEverywhereCondemnsNoMachineButASickMachineIsFound() {
        Job other = Samples.live(c, Samples.array("wk-000002", 4));
        for (int n = 0; n < 3; n++) {
            fail(j, 0, 10 + 2 * n);
        }
        assertFalse(m.sick);
        fail(other, 0, 30);
        assertTrue(m.sick);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"risen session", "lease ran out", "starts ignored"})
    void aMachineThatMayNotHearGetsNoWorkUntilItStays(String sign) {
        assertTrue(m.usable());
        switch (sign) {
            case "risen session" -> sendReport(2, 2);
            case "lease ran out" -> c.expireLeases(20);
            default -> {
                place();
                Samples.persist(j);
                for (int seq = 2; seq <= 4; seq++) {
                    sendReport(1, seq);
                }
                assertTrue(j.placed.isEmpty(), "a start ignored twice never ran");
            }
        }
        assertFalse(m.usable());
        long s = m.session;
        c.report(report("n-1", "small", "a", s, 40, TOKEN), true, 40);
        assertFalse(m.usable(), "a report after others may have gone to other nodes in between");
        c.report(report("n-1", "small", "a", s, 41, TOKEN), true, 46);
        assertFalse(m.usable(), "one that comes after a give-up shows no hearing");
        c.report(report("n-1", "small", "a", s, 42, TOKEN), true, 48);
        assertTrue(m.usable());
    }

    @Test
    void aStartAtLargeIsNeitherProvenGoneNorForgottenUntilItsSessionEnds() {
        Job g = Samples.live(c, Samples.spec("wk-000003", true, 1, new Resources(1, 0, 1), Urgency.HIGH));
        c.place(g, 0, ++g.attempts, m, 0);
        g.touch(0, true);
        assertEquals(List.of(), c.urgent(m, true, false, 1), "not before it is durable");
        Samples.persist(g);
        assertEquals(List.of("START wk-000003/0#1"), Samples.verbs(c.urgent(m, true, false, 1)));
        c.cancelled(g, 2);
        sendReport(1, 2);
        sendReport(1, 3);
        assertEquals(1, g.placed.size(), "it may come yet");
        assertFalse(c.unanswerable("n-1", 3));
        assertTrue(c.unanswerable("n-1", 7), "only without a lease does it become impossible");
        sendReport(2, 4);
        assertTrue(g.placed.isEmpty());
    }

    @Test
    void aStartAtLargeThatRanIsNotForgotten() {
        Job g = Samples.live(c, Samples.spec("wk-000003", true, 1, new Resources(1, 0, 1), Urgency.HIGH));
        c.place(g, 0, ++g.attempts, m, 0);
        g.touch(0, true);
        Samples.persist(g);
        c.urgent(m, true, false, 1);
        Report.Item done = item("wk-000003", 0, 1, TaskState.EXITED, Cause.DONE);
        sendReport(1, 2, done);
        Samples.persist(g);
        assertEquals(List.of(), sendReport(1, 3, done));
        assertFalse(c.unanswerable("n-1", 60));
    }

    @ParameterizedTest(name = "carried out {0}: absent from a report that was older, in place {1}")
    @CsvSource({"true", "false"})
    void whatCameBackFromAnOrderIsNewerThanAReportSentBefore(boolean carriedOut) {
        Job g = Samples.live(c, Samples.spec("wk-000003", true, 1, new Resources(1, 0, 1), Urgency.HIGH));
        c.place(g, 0, ++g.attempts, m, 0);
        g.touch(0, true);
        Samples.persist(g);
        List<Order> o = c.urgent(m, true, false, 1);
        Report back = report("n-1", "small", "a", 1, 8, TOKEN, item("wk-000003", 0, 1, TaskState.FETCHING, Cause.NONE));
        if (carriedOut) {
            c.carriedOut(m, back, o, 1);
        } else {
            c.refused(m, 1, o);
        }
        assertEquals(carriedOut ? List.of() : List.of("START wk-000003/0#1"), sendReport(1, 7));
        assertEquals(1, g.placed.size());
        assertEquals(List.of(), c.urgent(m, true, false, 2), "refused once, it goes out in answers only");
    }

    @Test
    void aStopGoesStraightOnceAndThenWithAnswers() {
        place();
        Samples.persist(j);
        sendReport(1, 2);
        sendReport(1, 3, item("wk-000001", 0, 1, TaskState.RUNNING, Cause.NONE));
        c.cancelled(j, 3);
        List<Order> o = c.urgent(m, true, false, 3);
        assertEquals(List.of("STOP wk-000001/0#1"), Samples.verbs(o));
        c.refused(m, 1, o);
        assertEquals(List.of(), c.urgent(m, true, false, 4));
        assertEquals(
                List.of("STOP wk-000001/0#1"),
                sendReport(1, 4, item("wk-000001", 0, 1, TaskState.RUNNING, Cause.NONE)));
    }

    private void fail(Job job, int task, long seq) {
        c.place(job, task, ++job.attempts, m, seq);
        job.touch(seq, true);
        Samples.persist(job);
        sendReport(1, seq);
        sendReport(1, seq + 1, item(job.spec.id(), task, job.attempts, TaskState.EXITED, Cause.ERROR));
    }
}
