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
import org.mountlug.core.cluster.MachineListing;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Resources;
import org.mountlug.core.scale.ListedMachine;

/**
 * A placement may be removed only once it is proven that its attempt has ended. Each test guards against a task that runs
 * twice or runs on after its cancellation because the leader removed the placement too early.
 */
class AttemptTerminationTest {
    private final Cluster cluster = Fixtures.cluster();
    private final Machine machine = Fixtures.addMachine(cluster, "n-1", "small", "a");
    private final Job job = Fixtures.addJob(cluster, Fixtures.array("wk-000001", 2));

    private void placeFirstTask() {
        cluster.place(job, 0, ++job.lastAttempt, machine, 0);
        job.markChanged(0, true);
    }

    private List<String> sendReport(long session, long sequence, Report.AttemptStatus... attempts) {
        return Fixtures.describe(
                cluster.handleReport(report("n-1", "small", "a", session, sequence, TOKEN, attempts), true, sequence));
    }

    @Test
    void startIsSentOnlyOncePlacementIsDurable() {
        placeFirstTask();
        assertEquals(List.of(), sendReport(1, 2));
        Fixtures.markPersisted(job);
        assertEquals(List.of("START wk-000001/0#1"), sendReport(1, 3));
    }

    @Test
    void startMissingInNewerReportIsSentAgainAndKeepsItsPlacement() {
        placeFirstTask();
        Fixtures.markPersisted(job);
        sendReport(1, 2);
        assertEquals(List.of("START wk-000001/0#1"), sendReport(1, 3));
        assertEquals(1, job.placements.size());
    }

    @Test
    void delayedReportProvesNothing() {
        placeFirstTask();
        Fixtures.markPersisted(job);
        sendReport(1, 5);
        sendReport(1, 6, attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE));
        assertEquals(List.of(), sendReport(1, 4));
        assertEquals(1, job.placements.size());
    }

    /**
     * Every response renews the worker lease, so a cancelled task must be stopped with the first response, even if the
     * report carries the token of an earlier term.
     */
    @ParameterizedTest(name = "token lower by {0}, attempt {1}, {2}, cancelled {3}")
    @CsvSource({
        "1, 1, RUNNING, true, STOP",
        "1, 1, WAITING_FOR_GANG, true, STOP",
        "1, 1, EXITED, true, ''",
        "1, 2, RUNNING, true, ''",
        "1, 1, RUNNING, false, ''",
        "0, 1, RUNNING, true, STOP"
    })
    void cancelledTaskIsStoppedWithTheFirstResponse(
            int tokenLag, long attempt, AttemptState state, boolean cancelled, String expectedVerb) {
        placeFirstTask();
        Fixtures.markPersisted(job);
        job.placements.get(0).reported = true;
        if (cancelled) {
            cluster.applyCancellation(job, 1);
        }
        List<Command> commands = cluster.handleReport(
                report(
                        "n-1",
                        "small",
                        "a",
                        1,
                        9,
                        TOKEN - tokenLag,
                        attemptStatus(
                                "wk-000001",
                                0,
                                attempt,
                                state,
                                state == AttemptState.EXITED ? ExitCause.ERROR : ExitCause.NONE)),
                true,
                3);
        assertEquals(expectedVerb.isEmpty() ? List.of() : List.of("STOP wk-000001/0#1"), Fixtures.describe(commands));
    }

    /**
     * The worker may still wait for the response to a report that the response to a direct command has overtaken. That
     * response renews the worker lease, so it must count when the leader computes the end of the lease.
     */
    @ParameterizedTest(name = "sequence {0} of session {1}")
    @CsvSource({"5, 1, true", "4, 1, false", "3, 1, false", "5, 0, false"})
    void responseToOvertakenReportRenewsTheLease(long sequence, long session, boolean renewsLease) {
        placeFirstTask();
        Fixtures.markPersisted(job);
        sendReport(1, 4, attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE));
        cluster.recordCommandResponse(
                machine,
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
        double previousResponseS = machine.lastResponseS;
        cluster.handleReport(report("n-1", "small", "a", session, sequence, TOKEN), true, 7);
        assertEquals(renewsLease ? 7 : previousResponseS, machine.lastResponseS);
        assertEquals(1, job.placements.size());
    }

    @Test
    void reportWithAnOlderTokenProvesNothing() {
        placeFirstTask();
        Fixtures.markPersisted(job);
        List<Command> commands = cluster.handleReport(report("n-1", "small", "a", 2, 9, TOKEN - 1), true, 3);
        assertEquals(List.of(), commands);
        assertEquals(1, job.placements.size());
        assertFalse(machine.tokenConfirmed);
    }

    @Test
    void reportWithAHigherTokenDeposesTheLeader() {
        assertNull(cluster.handleReport(report("n-1", "small", "a", 1, 9, TOKEN + 1), true, 3));
    }

    @Test
    void laterSessionProvesThatTheAttemptEnded() {
        placeFirstTask();
        Fixtures.markPersisted(job);
        sendReport(1, 2);
        sendReport(2, 3);
        assertTrue(job.placements.isEmpty());
    }

    @ParameterizedTest(name = "last response {0} s ago, token confirmed {1}: ended {2}")
    @CsvSource({"9, true, false", "10.2, true, false", "11, true, true", "11, false, false", "60, false, false"})
    void expiredLeaseIsAProofOnlyWithConfirmedTokenAndDriftMargin(
            double sinceResponseS, boolean tokenConfirmed, boolean ended) {
        placeFirstTask();
        machine.lastResponseS = 100;
        machine.tokenConfirmed = tokenConfirmed;
        cluster.expireLeases(100 + sinceResponseS);
        assertEquals(ended, job.placements.isEmpty());
    }

    @Test
    void machineListProvesOnlyFailures() {
        placeFirstTask();
        cluster.applyMachineList(List.of(), 10, 50);
        assertEquals(1, job.placements.size());
        cluster.applyMachineList(
                List.of(new ListedMachine("n-1", "x", "small", "a", false, ListedMachine.Status.FAILED, 9)), 10, 51);
        assertTrue(job.placements.isEmpty());
    }

    /**
     * Guards against machines that never counted as gone because no list of this term had shown them. A list shows every
     * machine that exists at the time it describes, so the time of the rental decides, however the machine became known.
     */
    @ParameterizedTest(name = "known by a {0} at 100 s, age {1} s; a list of {2} s lacks it: {3}")
    @CsvSource({
        "report, 0, 79, PENDING",
        "report, 0, 100, PENDING",
        "report, 0, 101, GONE",
        "record, 0, 100, PENDING",
        "record, 0, 101, GONE",
        "rental, 0, 100, PENDING",
        "rental, 0, 101, GONE",
        "list, 0, 100, PENDING",
        "list, 0, 101, GONE",
        "list, 30, 70, PENDING",
        "list, 30, 71, GONE",
        "report and list, 30, 70, PENDING",
        "report and list, 30, 71, GONE",
        "record and list, 30, 71, GONE"
    })
    void aListProvesAMachineGoneIfItDescribesALaterTimeThanTheRental(
            String knownBy, double ageS, double describedSinceS, MachineListing listing) {
        List<ListedMachine> listWithMachine =
                List.of(new ListedMachine("n-5", "x", "small", "a", false, ListedMachine.Status.RUNNING, ageS));
        switch (knownBy.split(" ")[0]) {
            case "report" -> cluster.handleReport(Fixtures.report("n-5", "small", "a", 1, 1, TOKEN), true, 100);
            case "record" -> {
                Job storedJob = new Job(Fixtures.array("wk-000005", 1));
                storedJob.placements.put(0, new Placement(storedJob, 0, 1, "n-5", "a", 1, 0, 100));
                cluster.loadJob(storedJob, 100);
            }
            case "rental" -> cluster.addRentedMachine("n-5", "small", "a", false, 100);
            default -> cluster.applyMachineList(listWithMachine, 80, 100);
        }
        if (knownBy.endsWith("list")) {
            cluster.applyMachineList(listWithMachine, 80, 100);
            assertEquals(MachineListing.LISTED, cluster.machines.get("n-5").listing);
        }
        cluster.applyMachineList(List.of(), describedSinceS, 130);
        assertEquals(listing, cluster.machines.get("n-5").listing);
        cluster.applyMachineList(listWithMachine, describedSinceS, 131);
        assertEquals(MachineListing.LISTED, cluster.machines.get("n-5").listing, "by an older list");
    }

    @Test
    void forgetIsSentOnlyOnceTheOutcomeIsDurable() {
        placeFirstTask();
        Fixtures.markPersisted(job);
        sendReport(1, 2);
        Report.AttemptStatus done = attemptStatus("wk-000001", 0, 1, AttemptState.EXITED, ExitCause.DONE);
        assertEquals(List.of(), sendReport(1, 3, done));
        assertTrue(job.doneTasks.get(0));
        assertEquals(List.of(), sendReport(1, 4, done));
        Fixtures.markPersisted(job);
        assertEquals(List.of("FORGET wk-000001/0#1"), sendReport(1, 5, done));
    }

    @Test
    void cancellationStopsSentStartsAndDropsUnsentOnes() {
        placeFirstTask();
        Fixtures.markPersisted(job);
        sendReport(1, 2);
        cluster.place(job, 1, ++job.lastAttempt, machine, 2);
        job.markChanged(2, true);
        cluster.applyCancellation(job, 3);
        assertEquals(1, job.placements.size());
        assertEquals(
                List.of("STOP wk-000001/0#1"),
                sendReport(1, 3, attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE)));
        assertFalse(job.isFinished());
        sendReport(1, 4, attemptStatus("wk-000001", 0, 1, AttemptState.EXITED, ExitCause.STOPPED));
        assertTrue(job.isFinished());
    }

    @Test
    void standbyStartsInTheResponseToTheReportThatFreesItsCapacity() {
        Job fullMachineJob = Fixtures.addJob(
                cluster,
                Fixtures.spec("wk-000002", false, 2, machine.type.capacity(), org.mountlug.core.model.Priority.HIGH));
        cluster.place(fullMachineJob, 0, ++fullMachineJob.lastAttempt, machine, 0);
        fullMachineJob.markChanged(0, true);
        Fixtures.markPersisted(fullMachineJob);
        sendReport(1, 2);
        cluster.place(fullMachineJob, 1, ++fullMachineJob.lastAttempt, machine, 2).standby = true;
        fullMachineJob.markChanged(2, true);
        Fixtures.markPersisted(fullMachineJob);
        assertEquals(
                List.of(), sendReport(1, 3, attemptStatus("wk-000002", 0, 1, AttemptState.RUNNING, ExitCause.NONE)));
        assertEquals(
                List.of("START wk-000002/1#2"),
                sendReport(1, 4, attemptStatus("wk-000002", 0, 1, AttemptState.EXITED, ExitCause.DONE)));
    }

    @Test
    void standbyThatWaitedTooLongIsDropped() {
        Job fullMachineJob = Fixtures.addJob(
                cluster,
                Fixtures.spec("wk-000002", false, 2, machine.type.capacity(), org.mountlug.core.model.Priority.HIGH));
        cluster.place(fullMachineJob, 0, ++fullMachineJob.lastAttempt, machine, 0);
        cluster.place(fullMachineJob, 1, ++fullMachineJob.lastAttempt, machine, 0).standby = true;
        cluster.updateStandbys(5);
        assertEquals(2, fullMachineJob.placements.size());
        cluster.updateStandbys(30);
        assertEquals(1, fullMachineJob.placements.size());
    }

    @Test
    void imagesOfAnEarlierTermApplyOnceTheMachineReports() {
        cluster.setExpectedImages("n-5", List.of("img"));
        assertEquals(java.util.Set.of("img"), Fixtures.addMachine(cluster, "n-5", "small", "a").cachedImages);
    }

    /**
     * Guards against a final record that says done although the cancellation was acknowledged to the user. It happened when
     * the last task completed between the acknowledgement and the stop.
     */
    @Test
    void cancelledJobNeverEndsAsDone() {
        job.doneTasks.set(1);
        placeFirstTask();
        Fixtures.markPersisted(job);
        sendReport(1, 2);
        cluster.applyCancellation(job, 3);
        sendReport(1, 3, attemptStatus("wk-000001", 0, 1, AttemptState.EXITED, ExitCause.DONE));
        assertTrue(job.isComplete() && job.isFinished());
        assertFalse(job.isDone());
    }

    @Test
    void orphanIsStoppedAndOccupiesTheMachine() {
        assertEquals(
                List.of("STOP wk-000009/3#4"),
                sendReport(1, 2, attemptStatus("wk-000009", 3, 4, AttemptState.RUNNING, ExitCause.NONE)));
        assertFalse(machine.isEmpty());
    }

    @Test
    void returnedMachineIsNotAddedAgainByLateReportOrMachineList() {
        cluster.recordMachineGone("n-1", 5, "returned");
        sendReport(1, 9);
        cluster.applyMachineList(
                List.of(new ListedMachine("n-1", "x", "small", "a", false, ListedMachine.Status.RUNNING, 9)), 10, 6);
        assertTrue(cluster.machines.isEmpty());
    }

    @Test
    void finishedJobIsNotLoadedAgainByADelayedWatch() {
        cluster.removeFinishedJob(job, 50);
        Job outdated = new Job(job.spec);
        outdated.revision = 49;
        cluster.loadJob(outdated, 6);
        assertTrue(cluster.jobs.isEmpty());
    }

    @Test
    void machineIsQuarantinedOnlyAfterFailuresOfDifferentJobs() {
        Job other = Fixtures.addJob(cluster, Fixtures.array("wk-000002", 4));
        for (int i = 0; i < 3; i++) {
            reportFailedAttempt(job, 0, 10 + 2 * i);
        }
        assertFalse(machine.quarantined);
        reportFailedAttempt(other, 0, 30);
        assertTrue(machine.quarantined);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"new session", "lease expired", "starts ignored"})
    void unreachableMachineGetsNoWorkUntilConsecutiveReports(String cause) {
        assertTrue(machine.isSchedulable());
        switch (cause) {
            case "new session" -> sendReport(2, 2);
            case "lease expired" -> cluster.expireLeases(20);
            default -> {
                placeFirstTask();
                Fixtures.markPersisted(job);
                for (int sequence = 2; sequence <= 4; sequence++) {
                    sendReport(1, sequence);
                }
                assertTrue(job.placements.isEmpty(), "the attempt ends after two ignored starts");
            }
        }
        assertFalse(machine.isSchedulable());
        long session = machine.session;
        cluster.handleReport(report("n-1", "small", "a", session, 40, TOKEN), true, 40);
        assertFalse(machine.isSchedulable(), "reports in between may have gone to other controllers");
        cluster.handleReport(report("n-1", "small", "a", session, 41, TOKEN), true, 46);
        assertFalse(machine.isSchedulable(), "a report after a response timeout does not show that responses arrive");
        cluster.handleReport(report("n-1", "small", "a", session, 42, TOKEN), true, 48);
        assertTrue(machine.isSchedulable());
    }

    @Test
    void unconfirmedStartKeepsItsPlacementUntilTheSessionEnds() {
        Job gang = Fixtures.addJob(cluster, Fixtures.spec("wk-000003", true, 1, new Resources(1, 0, 1), Priority.HIGH));
        cluster.place(gang, 0, ++gang.lastAttempt, machine, 0);
        gang.markChanged(0, true);
        assertEquals(
                List.of(),
                cluster.takeDirectCommands(machine, true, false, 1),
                "no start is sent before the placement is durable");
        Fixtures.markPersisted(gang);
        assertEquals(
                List.of("START wk-000003/0#1"), Fixtures.describe(cluster.takeDirectCommands(machine, true, false, 1)));
        cluster.applyCancellation(gang, 2);
        sendReport(1, 2);
        sendReport(1, 3);
        assertEquals(1, gang.placements.size(), "the unconfirmed start may still take effect");
        assertFalse(cluster.mustWithholdResponse("n-1", 3));
        assertTrue(
                cluster.mustWithholdResponse("n-1", 7),
                "the start becomes impossible only once the worker lease expires");
        sendReport(2, 4);
        assertTrue(gang.placements.isEmpty());
    }

    @Test
    void attemptWithUnconfirmedStartIsNotForgotten() {
        Job gang = Fixtures.addJob(cluster, Fixtures.spec("wk-000003", true, 1, new Resources(1, 0, 1), Priority.HIGH));
        cluster.place(gang, 0, ++gang.lastAttempt, machine, 0);
        gang.markChanged(0, true);
        Fixtures.markPersisted(gang);
        cluster.takeDirectCommands(machine, true, false, 1);
        Report.AttemptStatus done = attemptStatus("wk-000003", 0, 1, AttemptState.EXITED, ExitCause.DONE);
        sendReport(1, 2, done);
        Fixtures.markPersisted(gang);
        assertEquals(List.of(), sendReport(1, 3, done));
        assertFalse(cluster.mustWithholdResponse("n-1", 60));
    }

    /** A report that was sent before the response to a direct command lacks the attempt, which proves nothing about it. */
    @ParameterizedTest(name = "command executed {0}")
    @CsvSource({"true", "false"})
    void responseToDirectCommandOvertakesAnOlderReport(boolean executed) {
        Job gang = Fixtures.addJob(cluster, Fixtures.spec("wk-000003", true, 1, new Resources(1, 0, 1), Priority.HIGH));
        cluster.place(gang, 0, ++gang.lastAttempt, machine, 0);
        gang.markChanged(0, true);
        Fixtures.markPersisted(gang);
        List<Command> commands = cluster.takeDirectCommands(machine, true, false, 1);
        Report commandResponse = report(
                "n-1",
                "small",
                "a",
                1,
                8,
                TOKEN,
                attemptStatus("wk-000003", 0, 1, AttemptState.FETCHING, ExitCause.NONE));
        if (executed) {
            cluster.recordCommandResponse(machine, commandResponse, commands, 1);
        } else {
            cluster.recordRefusedCommands(machine, 1, commands);
        }
        assertEquals(executed ? List.of() : List.of("START wk-000003/0#1"), sendReport(1, 7));
        assertEquals(1, gang.placements.size());
        assertEquals(
                List.of(),
                cluster.takeDirectCommands(machine, true, false, 2),
                "a start that was sent directly once is sent again only in responses");
    }

    @Test
    void stopIsSentDirectlyOnceAndThenInResponses() {
        placeFirstTask();
        Fixtures.markPersisted(job);
        sendReport(1, 2);
        sendReport(1, 3, attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE));
        cluster.applyCancellation(job, 3);
        List<Command> commands = cluster.takeDirectCommands(machine, true, false, 3);
        assertEquals(List.of("STOP wk-000001/0#1"), Fixtures.describe(commands));
        cluster.recordRefusedCommands(machine, 1, commands);
        assertEquals(List.of(), cluster.takeDirectCommands(machine, true, false, 4));
        assertEquals(
                List.of("STOP wk-000001/0#1"),
                sendReport(1, 4, attemptStatus("wk-000001", 0, 1, AttemptState.RUNNING, ExitCause.NONE)));
    }

    private void reportFailedAttempt(Job failingJob, int task, long sequence) {
        cluster.place(failingJob, task, ++failingJob.lastAttempt, machine, sequence);
        failingJob.markChanged(sequence, true);
        Fixtures.markPersisted(failingJob);
        sendReport(1, sequence);
        sendReport(
                1,
                sequence + 1,
                attemptStatus(
                        failingJob.spec.id(), task, failingJob.lastAttempt, AttemptState.EXITED, ExitCause.ERROR));
    }
}
