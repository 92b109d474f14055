package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.activeTaskCount;
import static org.mountlug.node.FaultTestSteps.assertSettles;
import static org.mountlug.node.FaultTestSteps.jobId;
import static org.mountlug.node.FaultTestSteps.otherController;
import static org.mountlug.node.FaultTestSteps.runUntilStarted;
import static org.mountlug.node.FaultTestSteps.submit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Team;

/** Writes, reports, commands and elections that take effect late or lose their responses, across a change of leader. */
class LateMessageFaultsTest {
    /**
     * The responses to transactions are lost, or transactions are applied late and out of order, while the leader changes
     * and the tasks of a job end at different times.
     */
    @ParameterizedTest(name = "{0}, {1} s late, leader restarts after {2} s (99: never), jobs of {3} tasks")
    @CsvSource({
        "RESPONSES_LOST, 0, 2, 3",
        "RESPONSES_LOST, 0, 0.6, 2",
        "WRITES_DELAYED, 2, 1, 3",
        "WRITES_DELAYED, 4, 1.2, 2",
        "WRITES_DELAYED, 12, 3, 3",
        "WRITES_DELAYED, 6, 0.3, 2",
        "RESPONSES_LOST, 0, 99, 3",
        "WRITES_DELAYED, 3, 99, 3",
        "WRITES_DELAYED, 12, 99, 2"
    })
    void writesAppliedLateOrWithLostResponses(
            FakeStateService.Link link, double delayS, double leaderRestartS, int tasks) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.stateService.writeDelayS = delayS;
        cluster.taskDurationS = 6;
        cluster.submitUntilAccepted(jobId(90), 4, false);
        cluster.runFor(12);
        for (int i = 1; i <= 6; i++) {
            cluster.submitUntilAccepted(jobId(i), tasks, i % 3 == 0);
        }
        cluster.runFor(1.5);
        // Machines of different speeds, so that the tasks of a job end seconds apart.
        double[] slowdown = {1};
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.slowdownFactor = slowdown[0] += 0.6;
        }
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            controller.stateLink = link;
        }
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        long token = oldLeader.token();
        if (leaderRestartS < 90) {
            cluster.schedule(leaderRestartS, () -> oldLeader.restartAfter(1.5));
        }
        cluster.schedule(
                1,
                () -> cluster.controllers
                        .get(1)
                        .requestAsync(
                                "cancellation",
                                jobId(4),
                                reply -> cluster.controllers.get(1).users.cancel(jobId(4), reply),
                                null));
        cluster.runFor(9);
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            controller.stateLink = FakeStateService.Link.HEALTHY;
        }
        cluster.runFor(delayS);
        assertTrue(
                link == FakeStateService.Link.WRITES_DELAYED
                        ? cluster.stateService.delayedWritesApplied > 1
                        : cluster.stateService.writesWithLostResponse > 0);
        if (leaderRestartS >= 90) {
            assertEquals(
                    token, cluster.leader().token(), "no leader takes its own late write for one of another leader");
        }
        assertSettles(cluster, 150);
    }

    /** A write that a leader sent before it was deposed changes nothing when it is applied in the next term. */
    @ParameterizedTest(name = "{0} s into the next term")
    @ValueSource(doubles = {0.02, 1, 8})
    void aDeposedLeadersWriteAppliedInTheNextTermChangesNothing(double intoTermS) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.capacity = 3;
        cluster.taskDurationS = 40;
        cluster.submitUntilAccepted(jobId(1), 8, false, Map.of("dueS", 15.0));
        assertTrue(cluster.runUntil(60, () -> activeTaskCount(cluster, jobId(1)) == 8));
        cluster.runFor(3);
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        cluster.stateService.onTransaction = (from, body) -> {
            if (from == oldLeader && body.toString().contains("put=j/" + jobId(2))) {
                oldLeader.stateLink = FakeStateService.Link.PARTITIONED;
            }
        };
        otherController(cluster, oldLeader).submit(jobId(2), 4, false, Map.of("dueS", 5.0));
        assertTrue(
                cluster.runUntil(20, () -> oldLeader.stateLink == FakeStateService.Link.PARTITIONED),
                "the old leader placed the job");
        cluster.stateService.onTransaction = null;
        oldLeader.cutFromPeers = true;
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.disconnected = true; // so that the next leader has not written the job record yet
        }
        assertTrue(cluster.runUntil(12, () -> cluster.leader() != oldLeader && cluster.leader() != null));
        cluster.runFor(intoTermS);
        assertTrue(!cluster.stateService.heldTransactions.isEmpty());
        Object recordBefore = cluster.stateService.value("j/" + jobId(2));
        long token = cluster.leader().token();
        cluster.stateService.heldTransactions.forEach(Runnable::run);
        cluster.stateService.heldTransactions.clear();
        assertEquals(recordBefore, cluster.stateService.value("j/" + jobId(2)));
        cluster.runFor(2);
        assertEquals(token, cluster.leader().token(), "the leader does not take the write for one of a newer leader");
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.disconnected = false;
        }
        oldLeader.stateLink = FakeStateService.Link.HEALTHY;
        oldLeader.cutFromPeers = false;
        assertSettles(cluster, 200);
    }

    /** A write of a reservation that is applied after newer ones of the same term must not restore the reservation. */
    @Test
    void reservationsWrittenLateDoNotReplaceNewerOnes() {
        SimulatedCluster cluster = new SimulatedCluster(1);
        cluster.cloud.capacity = 3;
        cluster.taskDurationS = 20;
        cluster.submitUntilAccepted(jobId(1), 12, false);
        assertTrue(runUntilStarted(cluster, 12));
        cluster.runFor(3);
        List<Map<String, Object>> reservationWrites = new ArrayList<>();
        cluster.stateService.onTransaction = (from, body) -> {
            if (reservationWrites.isEmpty() && body.toString().contains("put=r/" + jobId(2))) {
                reservationWrites.add(body);
            }
        };
        cluster.submitUntilAccepted(jobId(2), 12, true);
        // The cancelled tasks take a while to stop, and their capacity is reserved meanwhile.
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.hungUntilS = cluster.nowS + 6;
        }
        cluster.controllers.get(0).cancel(jobId(1));
        assertTrue(cluster.runUntil(20, () -> !cluster.stateService.keys("r/").isEmpty()), "capacity is reserved");
        Object reservation = cluster.stateService.value("r/" + jobId(2));
        assertTrue(
                cluster.runUntil(
                        120,
                        () -> cluster.stateService.value("r/" + jobId(2)) == null
                                && activeTaskCount(cluster, jobId(2)) == 12),
                "the reserved capacity is used");
        assertNotNull(reservation);
        // As if the first write had got no response and been sent again, it is now applied once more.
        for (Map<String, Object> write : reservationWrites) {
            cluster.stateService.replayTransaction(write);
        }
        assertEquals(List.of(), cluster.stateService.keys("r/"));
        assertSettles(cluster, 100);
    }

    /**
     * Machines boot within two seconds and get work at once, while writes are delayed and the leader restarts before or
     * after they are applied; the cloud's machine list does not contain the machines yet.
     */
    @ParameterizedTest(
            name = "boot in {0} s, writes {1} s late from {2} s on, leader restarts at {3} s (99: never), {4}")
    @CsvSource({
        "0.5, 2, 0, 1.4, array",
        "1, 2, 0.5, 2.2, gang",
        "1.5, 5, 1, 2, array",
        "2, 5, 1, 3, gang",
        "1, 12, 0.6, 4, array",
        "1, 3, 0.8, 2.6, service",
        "0.5, 3, 0, 99, gang",
        "1, 3, 1, 5.9, array"
    })
    void machinesThatBootAtOnceWhileWritesAreDelayed(
            double bootS, double writeDelayS, double delayedFromS, double leaderRestartS, String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.listLagS = 20;
        cluster.machineBootS = bootS;
        cluster.stateService.writeDelayS = writeDelayS;
        cluster.taskDurationS = 8;
        cluster.runFor(6);
        submit(cluster, 1, jobType, 8);
        submit(cluster, 2, "array", 6);
        assertTrue(cluster.runUntil(10, () -> !cluster.workers.isEmpty()), "machines are rented");
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        cluster.schedule(delayedFromS, () -> oldLeader.stateLink = FakeStateService.Link.WRITES_DELAYED);
        if (leaderRestartS < 90) {
            cluster.schedule(leaderRestartS, () -> oldLeader.restartAfter(0.3));
        }
        cluster.runFor(7);
        oldLeader.stateLink = FakeStateService.Link.HEALTHY;
        cluster.runFor(writeDelayS);
        assertTrue(cluster.stateService.delayedWritesApplied > 0, "a write was applied late");
        assertSettles(cluster, 150);
    }

    /**
     * Old reports, also of an earlier session or attempt, reach every controller just as the term of a new leader begins or
     * after the leader has acted.
     */
    @ParameterizedTest(name = "{0} s into the term, last {1} reports of each worker, session ended {2}, {3}")
    @CsvSource({
        "0, 1, false, array",
        "0, 40, false, array",
        "0.02, 40, true, gang",
        "0.5, 40, true, array",
        "3, 40, false, gang",
        "3, 40, true, service",
        "14, 40, true, array",
        "30, 40, true, gang",
        "0, 40, true, service"
    })
    void oldReportsReachANewLeader(double afterS, int reportsPerWorker, boolean sessionEnded, String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 9;
        submit(cluster, 1, jobType, 8);
        submit(cluster, 2, "array", 8);
        assertTrue(runUntilStarted(cluster, 16));
        cluster.runFor(6);
        int[] deliveredReports = new int[1];
        List<Report> oldReports = new ArrayList<>();
        for (SimulatedWorker worker : cluster.workers.values()) {
            oldReports.addAll(worker.sentReports.subList(
                    Math.max(0, worker.sentReports.size() - reportsPerWorker), worker.sentReports.size()));
        }
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        cluster.onTermStart.add(newLeader -> cluster.schedule(afterS, () -> {
            for (SimulatedCluster.ControllerProcess receiver : cluster.controllers) {
                for (Report report : oldReports) {
                    if (receiver.up) {
                        receiver.controller.handleReport(report);
                        deliveredReports[0]++;
                    }
                }
            }
        }));
        if (sessionEnded) {
            for (SimulatedWorker worker : new ArrayList<>(cluster.workers.values())) {
                worker.disconnected = true;
                cluster.schedule(11, () -> worker.disconnected = false);
            }
        }
        cluster.runFor(0.5);
        oldLeader.restartAfter(2);
        cluster.runFor(13 + afterS);
        assertTrue(deliveredReports[0] > 0, "old reports reached a new leader");
        assertSettles(cluster, 150);
    }

    /**
     * A report that is on its way while its worker gets direct commands arrives after the response to these commands. The
     * leader's response to the report renews the worker lease all the same.
     */
    @ParameterizedTest(name = "reports delayed by {0} s, {1}")
    @CsvSource({"1, array", "3, array", "3.5, gang", "2, gang"})
    void aReportOvertakenByACommandResponseRenewsTheLease(double reportDelayS, String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(1, List.of(new Team("t", 0, 0, 0, 0, 1)), 10);
        cluster.taskDurationS = 60;
        cluster.cloud.capacity = 1;
        cluster.submitUntilAccepted(jobId(9), 1, false);
        assertTrue(runUntilStarted(cluster, 1));
        SimulatedWorker worker = cluster.workers.values().iterator().next();
        cluster.runFor(4.1);
        // From here on the reports of the worker are delayed, but direct commands to it are not.
        worker.reportDelayS = reportDelayS;
        for (int i = 1; i <= 3; i++) {
            String id = jobId(i);
            cluster.schedule(0.1 + 1.3 * i, () -> submit(cluster, Integer.parseInt(id.substring(3)), jobType, 1));
        }
        assertTrue(
                cluster.runUntil(
                        20, () -> worker.reportOvertaken && worker.activeTasks().size() >= 2),
                "a report was overtaken");
        worker.disconnected = true;
        cluster.schedule(3, () -> cluster.addMachine("a")); // capacity for its tasks as soon as the machine is given up
        cluster.runFor(25);
        assertTrue(
                cluster.workers.values().stream()
                        .anyMatch(otherWorker -> otherWorker != worker
                                && !otherWorker.activeTasks().isEmpty()),
                "its tasks continue on another machine");
        worker.disconnected = false;
        worker.reportDelayS = 0;
        cluster.cloud.capacity = 12;
        cluster.taskDurationS = 5;
        if (jobType.equals("service")) {
            for (int i = 1; i <= 3; i++) {
                cluster.controllers.get(0).cancel(jobId(i));
            }
        }
        assertSettles(cluster, 150);
    }

    /**
     * A direct command or its response is delayed for seconds and the machine may hang, while a user cancels the job and the
     * leader may restart.
     */
    @ParameterizedTest(name = "commands delayed by {0} s, hung {1} s, cancelled after {2} s, leader restarts {3}, {4}")
    @CsvSource({
        "2, 0, 0.5, false, gang",
        "4, 3, 1, false, gang",
        "8, 6, 0.2, true, gang",
        "9, 9, 2, true, gang",
        "6, 6, 4, false, service",
        "12, 0, 0.3, true, service",
        "5, 8, 0.1, false, array",
        "20, 9, 3, true, array"
    })
    void commandsDelayedWhileTheMachineHangs(
            double commandDelayS, double hangS, double cancelAfterS, boolean leaderRestarts, String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 40;
        cluster.submitUntilAccepted(jobId(9), 8, false);
        assertTrue(runUntilStarted(cluster, 8));
        cluster.runFor(3);
        cluster.commandNetwork.delayS = commandDelayS;
        submit(cluster, 1, jobType, 6);
        submit(cluster, 2, jobType, 4);
        cluster.runFor(1.2);
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.hungUntilS = cluster.nowS + hangS;
        }
        cluster.runFor(cancelAfterS);
        for (int i = 0; i < 8 && !cluster.cancelAcknowledgedAtS.containsKey(jobId(1)); i++) {
            otherController(cluster, cluster.leader()).cancel(jobId(1));
        }
        assertTrue(cluster.cancelAcknowledgedAtS.containsKey(jobId(1)));
        if (leaderRestarts) {
            cluster.leader().restartAfter(0.2);
        }
        cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 2);
        assertEquals(0, activeTaskCount(cluster, jobId(1)));
        cluster.commandNetwork.delayS = 0;
        cluster.taskDurationS = 5;
        if (jobType.equals("service")) {
            cluster.controllers.get(0).cancel(jobId(2));
        }
        assertSettles(cluster, 200);
    }

    /**
     * An election write whose response is lost or that is applied late must not leave the leader key with a controller that
     * does not know of its election.
     */
    @ParameterizedTest(name = "{0}, {1} s late")
    @CsvSource({"RESPONSES_LOST, 0", "WRITES_DELAYED, 1", "WRITES_DELAYED, 3", "WRITES_DELAYED, 12"})
    void anElectionWhoseResponseIsLost(FakeStateService.Link link, double delayS) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 30;
        cluster.stateService.writeDelayS = delayS;
        cluster.submitUntilAccepted(jobId(1), 8, false);
        assertTrue(runUntilStarted(cluster, 8));
        cluster.runFor(3);
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            if (controller != oldLeader) {
                controller.stateLink = link;
            }
        }
        oldLeader.restartAfter(9);
        cluster.runFor(8.5);
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            controller.stateLink = FakeStateService.Link.HEALTHY;
        }
        assertTrue(
                cluster.runUntil(9, () -> cluster.leader() != null),
                "the leader key does not stay with a controller that does not know of its election");
        cluster.runFor(4 + delayS);
        assertTrue(
                link == FakeStateService.Link.WRITES_DELAYED
                        ? cluster.stateService.delayedWritesApplied > 0
                        : cluster.stateService.writesWithLostResponse > 0);
        assertEquals(
                1,
                cluster.controllers.stream()
                        .filter(process -> process.controller.isLeading())
                        .count());
        assertSettles(cluster, 150);
    }
}
