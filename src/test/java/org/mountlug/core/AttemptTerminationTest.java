package org.mountlug.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.Fixtures.TOKEN;
import static org.mountlug.Fixtures.attemptStatus;
import static org.mountlug.Fixtures.report;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.Fixtures;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Resources;
import org.mountlug.core.scale.ListedMachine;

/** A task leaves its place only with a proof: each case guards against a task running twice or after its abort. */
class AttemptTerminationTest {
    private final Cluster c = Fixtures.cluster();
    private final Machine m = Fixtures.addMachine(c, "n-1", "small", "a");
    private final Job j = Fixtures.addJob(c, Fixtures.array("wk-000001", 2));

    private void place() {
        c.place(j, 0, ++j.lastAttempt, m, 0);
        j.markChanged(0, true);
    }

    private List<String> sendReport(long session, long seq, Report.AttemptStatus... items) {
        return Fixtures.describe(c.handleReport(report("n-1", "small", "a", session, seq, TOKEN, items), true, seq));
    }

    @Test
    void startLeavesOnlyOnceDurable() {
        place();
        assertEquals(List.of(), sendReport(1, 2));
        Fixtures.markPersisted(j);
        assertEquals(List.of("START wk-000001/0#1"), sendReport(1, 3));
    }

    @Test
    void startThatANewerReportLacksGoesOutAgainAndKeepsItsPlace() {
        place();
        Fixtures.markPersisted(j);
        sendReport(1, 2);
        assertEquals(List.of("START wk-000001/0#1"), sendReport(1, 3));
        assertEquals(1, j.placements.size());
    }

    @Test
    void aReportHeldBackOnItsWayProvesNothing() {
        place();
        Fixtures.markPersisted(j);
        sendReport(1, 5);
        sendReport(1, 6, attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE));
        assertEquals(List.of(), sendReport(1, 4));
        assertEquals(1, j.placements.size());
    }

    /** Whoever answers renews the lease, so what is cancelled stops with the first answer, whatever token came before. */
    @ParameterizedTest(name = "token {0} below ours, attempt {1}, {2}, cancelled {3}")
    @CsvSource({
        "1, 1, RUNNING, true, STOP",
        "1, 1, WAITING_FOR_GANG, true, STOP",
        "1, 1, EXITED, true, ''",
        "1, 2, RUNNING, true, ''",
        "1, 1, RUNNING, false, ''",
        "0, 1, RUNNING, true, STOP"
    })
    void aCancelledTaskStopsWithTheFirstAnswer(
            int below, long attempt, AttemptState state, boolean cancelled, String order) {
        place();
        Fixtures.markPersisted(j);
        j.placements.get(0).reported = true;
        if (cancelled) {
            c.applyCancellation(j, 1);
        }
        List<Command> o = c.handleReport(
                report(
                        "n-1",
                        "small",
                        "a",
                        1,
                        9,
                        TOKEN - below,
                        attemptStatus(
                                "wk-000001",
                                0,
                                attempt,
                                state,
                                state == AttemptState.EXITED ? ExitCause.ERROR : ExitCause.NONE)),
                true,
                3);
        assertEquals(order.isEmpty() ? List.of() : List.of("STOP wk-000001/0#1"), Fixtures.describe(o));
    }

    /** A report that direct orders' answer has overtaken may be the one its worker waits for: its answer renews the lease. */
    @ParameterizedTest(name = "sequence {0} of session {1}")
    @CsvSource({"5, 1, true", "4, 1, false", "3, 1, false", "5, 0, false"})
    void anOvertakenReportCountsAsAnswered(long sequence, long session, boolean counts) {
        place();
        Fixtures.markPersisted(j);
        sendReport(1, 4, attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE));
        c.recordCommandResponse(
                m,
                report(
                        "n-1",
                        "small",
                        "a",
                        1,
                        6,
                        TOKEN,
                        attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE)),
                List.of(),
                4.5);
        double before = m.lastResponseS;
        c.handleReport(report("n-1", "small", "a", session, sequence, TOKEN), true, 7);
        assertEquals(counts ? 7 : before, m.lastResponseS);
        assertEquals(1, j.placements.size());
    }

    @Test
    void aReportUnderAnOlderTokenProvesNothing() {
        place();
        Fixtures.markPersisted(j);
        List<Command> o = c.handleReport(report("n-1", "small", "a", 2, 9, TOKEN - 1), true, 3);
        assertEquals(List.of(), o);
        assertEquals(1, j.placements.size());
        assertFalse(m.tokenConfirmed);
    }

    @Test
    void aReportUnderAHigherTokenDeposes() {
        assertNull(c.handleReport(report("n-1", "small", "a", 1, 9, TOKEN + 1), true, 3));
    }

    @Test
    void aLaterSessionIsAProof() {
        place();
        Fixtures.markPersisted(j);
        sendReport(1, 2);
        sendReport(2, 3);
        assertTrue(j.placements.isEmpty());
    }

    @ParameterizedTest(name = "answered {0} s ago, synced {1}: gone {2}")
    @CsvSource({"9, true, false", "10.2, true, false", "11, true, true", "11, false, false", "60, false, false"})
    void leaseIsAProofOnlyUnderOurTokenAndWithDrift(double ago, boolean synced, boolean gone) {
        place();
        m.lastResponseS = 100;
        m.tokenConfirmed = synced;
        c.expireLeases(100 + ago);
        assertEquals(gone, j.placements.isEmpty());
    }

    @Test
    void theListProvesOnlyFailures() {
        place();
        c.applyMachineList(List.of(), 10, 50);
        assertEquals(1, j.placements.size());
        c.applyMachineList(
                List.of(new ListedMachine("n-1", "x", "small", "a", false, ListedMachine.Status.FAILED, 9)), 10, 51);
        assertTrue(j.placements.isEmpty());
    }

    /** The list lags and may be older than the one before, but what it has shown it shows until that is gone. */
    @ParameterizedTest(name = "listed at {0}, missing at {1}: unlisted {2}")
    @CsvSource({"0, 15, false", "0, 21, true", "-1, 60, false"})
    void aMachineIsUnlistedOnlyAfterTheLag(double listed, double missing, boolean unlisted) {
        if (listed >= 0) {
            c.applyMachineList(
                    List.of(new ListedMachine("n-1", "x", "small", "a", false, ListedMachine.Status.RUNNING, 9)),
                    10,
                    listed);
        }
        c.applyMachineList(List.of(), 10, missing);
        assertEquals(unlisted, m.unlisted);
    }

    @Test
    void forgetWaitsUntilTheOutcomeIsDurable() {
        place();
        Fixtures.markPersisted(j);
        sendReport(1, 2);
        Report.AttemptStatus done = attemptStatus("wk-000001", 0, 1, AttemptState.EXITED, ExitCause.DONE);
        assertEquals(List.of(), sendReport(1, 3, done));
        assertTrue(j.doneTasks.get(0));
        assertEquals(List.of(), sendReport(1, 4, done));
        Fixtures.markPersisted(j);
        assertEquals(List.of("FORGET wk-000001/0#1"), sendReport(1, 5, done));
    }

    @Test
    void abortStopsWhatWasSentAndDropsWhatWasNot() {
        place();
        Fixtures.markPersisted(j);
        sendReport(1, 2);
        c.place(j, 1, ++j.lastAttempt, m, 2);
        j.markChanged(2, true);
        c.applyCancellation(j, 3);
        assertEquals(1, j.placements.size());
        assertEquals(
                List.of("STOP wk-000001/0#1"),
                sendReport(1, 3, attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE)));
        assertFalse(j.isFinished());
        sendReport(1, 4, attemptStatus("wk-000001", 0, 1, AttemptState.EXITED, ExitCause.STOPPED));
        assertTrue(j.isFinished());
    }

    @Test
    void aStandbyStartsInTheAnswerThatShowsItsRoomFreeAndNotBefore() {
        Job big = Fixtures.addJob(
                c, Fixtures.spec("wk-000002", false, 2, m.type.capacity(), org.mountlug.core.model.Priority.HIGH));
        c.place(big, 0, ++big.lastAttempt, m, 0);
        big.markChanged(0, true);
        Fixtures.markPersisted(big);
        sendReport(1, 2);
        c.place(big, 1, ++big.lastAttempt, m, 2).standby = true;
        big.markChanged(2, true);
        Fixtures.markPersisted(big);
        assertEquals(
                List.of(), sendReport(1, 3, attemptStatus("wk-000002", 0, 1, AttemptState.RUNNING, ExitCause.NONE)));
        assertEquals(
                List.of("START wk-000002/1#2"),
                sendReport(1, 4, attemptStatus("wk-000002", 0, 1, AttemptState.EXITED, ExitCause.DONE)));
    }

    @Test
    void aStandbyThatWaitedTooLongGoesBackToItsQueue() {
        Job big = Fixtures.addJob(
                c, Fixtures.spec("wk-000002", false, 2, m.type.capacity(), org.mountlug.core.model.Priority.HIGH));
        c.place(big, 0, ++big.lastAttempt, m, 0);
        c.place(big, 1, ++big.lastAttempt, m, 0).standby = true;
        c.updateStandbys(5);
        assertEquals(2, big.placements.size());
        c.updateStandbys(30);
        assertEquals(1, big.placements.size());
    }

    @Test
    void imagesOfAnEarlierTermAreExpectedOnceTheMachineIsHeardOf() {
        c.setExpectedImages("n-5", List.of("img"));
        assertEquals(java.util.Set.of("img"), Fixtures.addMachine(c, "n-5", "small", "a").cachedImages);
    }

    /** Found by a day of other luck: told cancelled, then the last task completed and the record said done. */
    @Test
    void aCancelledJobNeverEndsAsDone() {
        j.doneTasks.set(1);
        place();
        Fixtures.markPersisted(j);
        sendReport(1, 2);
        c.applyCancellation(j, 3);
        sendReport(1, 3, attemptStatus("wk-000001", 0, 1, AttemptState.EXITED, ExitCause.DONE));
        assertTrue(j.isComplete() && j.isFinished());
        assertFalse(j.isDone());
    }

    @Test
    void whatNoRecordPlacesHereIsStoppedAndBlocksTheMachine() {
        assertEquals(
                List.of("STOP wk-000009/3#4"),
                sendReport(1, 2, attemptStatus("wk-000009", 3, 4, AttemptState.RUNNING, ExitCause.NONE)));
        assertFalse(m.isEmpty());
    }

    @Test
    void aReturnedMachineDoesNotComeBackByALateReportOrTheLaggingList() {
        c.recordMachineGone("n-1", 5, "returned");
        sendReport(1, 9);
        c.applyMachineList(
                List.of(new ListedMachine("n-1", "x", "small", "a", false, ListedMachine.Status.RUNNING, 9)), 10, 6);
        assertTrue(c.machines.isEmpty());
    }

    @Test
    void aFinishedJobIsNotBroughtBackByALateWatch() {
        c.removeFinishedJob(j, 50);
        Job late = new Job(j.spec);
        late.revision = 49;
        c.loadJob(late, 6);
        assertTrue(c.jobs.isEmpty());
    }

    @Test
    void aJobThatFailsEverywhereCondemnsNoMachineButASickMachineIsFound() {
        Job other = Fixtures.addJob(c, Fixtures.array("wk-000002", 4));
        for (int n = 0; n < 3; n++) {
            fail(j, 0, 10 + 2 * n);
        }
        assertFalse(m.quarantined);
        fail(other, 0, 30);
        assertTrue(m.quarantined);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"risen session", "lease ran out", "starts ignored"})
    void aMachineThatMayNotHearGetsNoWorkUntilItStays(String sign) {
        assertTrue(m.isSchedulable());
        switch (sign) {
            case "risen session" -> sendReport(2, 2);
            case "lease ran out" -> c.expireLeases(20);
            default -> {
                place();
                Fixtures.markPersisted(j);
                for (int seq = 2; seq <= 4; seq++) {
                    sendReport(1, seq);
                }
                assertTrue(j.placements.isEmpty(), "a start ignored twice never ran");
            }
        }
        assertFalse(m.isSchedulable());
        long s = m.session;
        c.handleReport(report("n-1", "small", "a", s, 40, TOKEN), true, 40);
        assertFalse(m.isSchedulable(), "a report after others may have gone to other nodes in between");
        c.handleReport(report("n-1", "small", "a", s, 41, TOKEN), true, 46);
        assertFalse(m.isSchedulable(), "one that comes after a give-up shows no hearing");
        c.handleReport(report("n-1", "small", "a", s, 42, TOKEN), true, 48);
        assertTrue(m.isSchedulable());
    }

    @Test
    void aStartAtLargeIsNeitherProvenGoneNorForgottenUntilItsSessionEnds() {
        Job g = Fixtures.addJob(c, Fixtures.spec("wk-000003", true, 1, new Resources(1, 0, 1), Priority.HIGH));
        c.place(g, 0, ++g.lastAttempt, m, 0);
        g.markChanged(0, true);
        assertEquals(List.of(), c.takeDirectCommands(m, true, false, 1), "not before it is durable");
        Fixtures.markPersisted(g);
        assertEquals(List.of("START wk-000003/0#1"), Fixtures.describe(c.takeDirectCommands(m, true, false, 1)));
        c.applyCancellation(g, 2);
        sendReport(1, 2);
        sendReport(1, 3);
        assertEquals(1, g.placements.size(), "it may come yet");
        assertFalse(c.mustWithholdResponse("n-1", 3));
        assertTrue(c.mustWithholdResponse("n-1", 7), "only without a lease does it become impossible");
        sendReport(2, 4);
        assertTrue(g.placements.isEmpty());
    }

    @Test
    void aStartAtLargeThatRanIsNotForgotten() {
        Job g = Fixtures.addJob(c, Fixtures.spec("wk-000003", true, 1, new Resources(1, 0, 1), Priority.HIGH));
        c.place(g, 0, ++g.lastAttempt, m, 0);
        g.markChanged(0, true);
        Fixtures.markPersisted(g);
        c.takeDirectCommands(m, true, false, 1);
        Report.AttemptStatus done = attemptStatus("wk-000003", 0, 1, AttemptState.EXITED, ExitCause.DONE);
        sendReport(1, 2, done);
        Fixtures.markPersisted(g);
        assertEquals(List.of(), sendReport(1, 3, done));
        assertFalse(c.mustWithholdResponse("n-1", 60));
    }

    @ParameterizedTest(name = "carried out {0}: absent from a report that was older, in place {1}")
    @CsvSource({"true", "false"})
    void whatCameBackFromAnOrderIsNewerThanAReportSentBefore(boolean carriedOut) {
        Job g = Fixtures.addJob(c, Fixtures.spec("wk-000003", true, 1, new Resources(1, 0, 1), Priority.HIGH));
        c.place(g, 0, ++g.lastAttempt, m, 0);
        g.markChanged(0, true);
        Fixtures.markPersisted(g);
        List<Command> o = c.takeDirectCommands(m, true, false, 1);
        Report back = report(
                "n-1",
                "small",
                "a",
                1,
                8,
                TOKEN,
                attemptStatus("wk-000003", 0, 1, AttemptState.FETCHING, ExitCause.NONE));
        if (carriedOut) {
            c.recordCommandResponse(m, back, o, 1);
        } else {
            c.recordRefusedCommands(m, 1, o);
        }
        assertEquals(carriedOut ? List.of() : List.of("START wk-000003/0#1"), sendReport(1, 7));
        assertEquals(1, g.placements.size());
        assertEquals(List.of(), c.takeDirectCommands(m, true, false, 2), "refused once, it goes out in answers only");
    }

    @Test
    void aStopGoesStraightOnceAndThenWithAnswers() {
        place();
        Fixtures.markPersisted(j);
        sendReport(1, 2);
        sendReport(1, 3, attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE));
        c.applyCancellation(j, 3);
        List<Command> o = c.takeDirectCommands(m, true, false, 3);
        assertEquals(List.of("STOP wk-000001/0#1"), Fixtures.describe(o));
        c.recordRefusedCommands(m, 1, o);
        assertEquals(List.of(), c.takeDirectCommands(m, true, false, 4));
        assertEquals(
                List.of("STOP wk-000001/0#1"),
                sendReport(1, 4, attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE)));
    }

    private void fail(Job job, int task, long seq) {
        c.place(job, task, ++job.lastAttempt, m, seq);
        job.markChanged(seq, true);
        Fixtures.markPersisted(job);
        sendReport(1, seq);
        sendReport(
                1, seq + 1, attemptStatus(job.spec.id(), task, job.lastAttempt, AttemptState.EXITED, ExitCause.ERROR));
    }
}
