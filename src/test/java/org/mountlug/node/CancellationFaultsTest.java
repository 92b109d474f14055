package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.activeTaskCount;
import static org.mountlug.node.FaultTestSteps.assertSettles;
import static org.mountlug.node.FaultTestSteps.jobId;
import static org.mountlug.node.FaultTestSteps.otherController;
import static org.mountlug.node.FaultTestSteps.runUntilStarted;
import static org.mountlug.node.FaultTestSteps.submit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.core.model.Team;

/** Cancellations during other faults: whichever controller acknowledges one, every task of the job ends by the deadline. */
class CancellationFaultsTest {
    /**
     * The state service refuses only the leader, another controller acknowledges the cancellation of a job, and then the
     * state service is unavailable to all for longer than the deadline of a cancellation. The controller that acknowledges
     * the cancellation first need not be the one that wrote it.
     */
    @ParameterizedTest(name = "{0}, acknowledged by {1} {2} s after the refusal, outage {3} s later")
    @CsvSource({
        "array, cancellation, 0.05, 0.5",
        "array, cancellation, 1, 0.1",
        "gang, cancellation, 1.5, 0.02",
        "service, cancellation, 1.5, 0.5",
        "array, poll, 0.3, 0.5",
        "gang, poll, 1.2, 0.1",
        "service, poll, 0.3, 0.5",
        "array, submission, 0.3, 0.5",
        "gang, submission, 1.2, 0.1",
        "array, second cancellation, 0.3, 0.5",
        "service, second cancellation, 1.2, 0.1",
        "array, poll at a third controller, 0.8, 0.2"
    })
    void anAcknowledgedCancellationHoldsThroughAnOutage(
            String jobType, String acknowledgedBy, double afterRefusalS, double beforeOutageS) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 200;
        submit(cluster, 1, jobType, 8);
        assertTrue(runUntilStarted(cluster, 8));
        cluster.runFor(4);
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        SimulatedCluster.ControllerProcess firstFollower = otherController(cluster, leader);
        SimulatedCluster.ControllerProcess secondFollower = cluster.controllers.stream()
                .filter(controller -> controller != leader && controller != firstFollower)
                .findFirst()
                .orElseThrow();
        leader.stateLink = FakeStateService.Link.REFUSED;
        cluster.runFor(afterRefusalS);
        if (acknowledgedBy.equals("cancellation")) {
            assertEquals("withdrawn", firstFollower.cancel(jobId(1)).get("status"));
        } else {
            // The cancellation is written, but the response to the write is lost: it is not acknowledged yet.
            firstFollower.stateLink = FakeStateService.Link.RESPONSES_LOST;
            firstFollower.requestAsync(
                    "cancellation", jobId(1), reply -> firstFollower.users.cancel(jobId(1), reply), null);
            cluster.runFor(0.02);
            assertEquals(1, cluster.stateService.writesWithLostResponse);
            firstFollower.stateLink = FakeStateService.Link.HEALTHY;
            SimulatedCluster.ControllerProcess respondingController =
                    acknowledgedBy.equals("poll at a third controller") ? secondFollower : firstFollower;
            Map<String, Object> response =
                    switch (acknowledgedBy) {
                        case "poll", "poll at a third controller" -> respondingController.poll(jobId(1));
                        case "submission" -> {
                            List<Map<String, Object>> responses = new ArrayList<>();
                            respondingController.requestAsync(
                                    "submission",
                                    jobId(1),
                                    reply -> respondingController.users.submit(
                                            cluster.originalSubmission(jobId(1)), reply),
                                    responses::add);
                            cluster.runUntil(5, () -> !responses.isEmpty());
                            yield responses.get(0);
                        }
                        default -> respondingController.cancel(jobId(1));
                    };
            assertEquals("withdrawn", response.get("status"));
        }
        cluster.runFor(beforeOutageS);
        cluster.stateService.outage = true;
        long token = leader.token();
        cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 1);
        assertTrue(leader.controller.isLeading() && leader.token() == token, "no other controller could be elected");
        assertEquals(0, activeTaskCount(cluster, jobId(1)), "no task runs after the deadline");
        cluster.runFor(25);
        cluster.stateService.recover();
        leader.stateLink = FakeStateService.Link.HEALTHY;
        assertSettles(cluster, 100);
        assertEquals("withdrawn", cluster.outcome(jobId(1)));
    }

    /**
     * The state service refuses the leader and then fails, and the controller that acknowledged cancellations restarts
     * within a fraction of a second, cannot be reached by its peers, or has acknowledged hundreds: no cancelled task runs
     * after the deadline.
     */
    @ParameterizedTest(name = "the responding controller {0}")
    @ValueSource(
            strings = {
                "restarts within 0.2 s",
                "restarts within 0.2 s and was never polled by the leader",
                "is cut from its peers",
                "acknowledged 600 other cancellations"
            })
    void aCancellationHoldsThoughTheRespondingControllerFails(String scenario) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.capacity = 150;
        cluster.taskDurationS = 200;
        cluster.submitUntilAccepted(jobId(1), 8, false);
        int extraJobs = scenario.startsWith("acknowledged") ? 600 : 0;
        for (int i = 0; i < extraJobs; i++) {
            cluster.submitUntilAccepted(jobId(1000 + i), 1, false, Map.of("vcpus", 0.1, "ramGb", 0.1));
        }
        assertTrue(runUntilStarted(cluster, 8 + extraJobs));
        cluster.runFor(4);
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        SimulatedCluster.ControllerProcess respondingController = otherController(cluster, leader);
        leader.stateLink = FakeStateService.Link.REFUSED;
        cluster.runFor(0.3);
        if (!scenario.startsWith("restarts within 0.2 s and")) {
            cluster.runFor(0.4);
        }
        if (scenario.equals("is cut from its peers")) {
            respondingController.cutFromPeers = true;
        }
        for (int i = 0; i < extraJobs; i++) {
            String id = jobId(1000 + i);
            respondingController.requestAsync(
                    "cancellation", id, reply -> respondingController.users.cancel(id, reply), null);
            if (i % 25 == 24) {
                cluster.runFor(0.05);
            }
        }
        assertEquals("withdrawn", respondingController.cancel(jobId(1)).get("status"));
        cluster.runFor(0.01);
        if (scenario.startsWith("restarts")) {
            respondingController.restartAfter(0.2);
        }
        cluster.stateService.outage = true;
        cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 1);
        assertEquals(0, activeTaskCount(cluster, jobId(1)), "no task runs after the deadline");
        cluster.runFor(20);
        respondingController.cutFromPeers = false;
        cluster.stateService.recover();
        leader.stateLink = FakeStateService.Link.HEALTHY;
        cluster.taskDurationS = 5;
        assertSettles(cluster, 120);
    }

    /**
     * The state service refuses a new leader before it has read all records. Responses of this leader must not keep the
     * tasks of a job running after another controller has acknowledged its cancellation, before or during the term.
     */
    @ParameterizedTest(name = "refused {0} s and cancelled {1} s into the term, outage of {2} s, previous leader {3}")
    @CsvSource({
        "0.003, -2, 45, stopped",
        "0.003, 0.6, 45, stopped",
        "0.008, -2, 45, stopped",
        "0.008, 0.6, 45, stopped",
        "0.014, 0.6, 45, stopped",
        "0.014, 5, 45, stopped",
        "0.02, -2, 45, stopped",
        "0.02, 0.6, 60, stopped",
        "0.05, 0.6, 45, stopped",
        "0.3, 5, 45, stopped",
        "0.003, -2, 45, paused",
        "0.008, -2, 45, paused",
        "0.014, -2, 60, paused"
    })
    void aCancellationWhileANewLeaderLoadsIsNotLost(
            double refusedAfterS, double cancelAfterS, double outageS, String previousLeaderFault) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 300;
        cluster.submitUntilAccepted(jobId(1), 8, false);
        for (int i = 2; i < 9; i++) {
            cluster.submitUntilAccepted(jobId(i), 1, false); // the records fill more than one page
        }
        assertTrue(runUntilStarted(cluster, 15));
        cluster.runFor(4);
        SimulatedCluster.ControllerProcess previousLeader = cluster.leader();
        boolean[] newTermBegan = new boolean[1];
        cluster.onTermStart.add(controller -> {
            if (controller == previousLeader || newTermBegan[0]) {
                return;
            }
            newTermBegan[0] = true;
            cluster.schedule(refusedAfterS, () -> controller.stateLink = FakeStateService.Link.REFUSED);
        });
        if (previousLeaderFault.equals("stopped")) {
            previousLeader.kill();
        } else {
            previousLeader.pause(90);
        }
        if (cancelAfterS < 0) {
            assertEquals(
                    "withdrawn",
                    otherController(cluster, previousLeader).cancel(jobId(1)).get("status"));
        }
        assertTrue(cluster.runUntil(20, () -> newTermBegan[0]));
        SimulatedCluster.ControllerProcess newLeader = cluster.leader();
        cluster.runFor(Math.max(0, cancelAfterS));
        SimulatedCluster.ControllerProcess respondingController = otherController(cluster, newLeader);
        if (cancelAfterS >= 0) {
            assertEquals("withdrawn", respondingController.cancel(jobId(1)).get("status"));
        }
        cluster.runFor(0.1);
        cluster.stateService.outage = true;
        cluster.runFor(outageS);
        assertEquals(0, activeTaskCount(cluster, jobId(1)), "no task runs after the deadline");
        cluster.stateService.recover();
        newLeader.stateLink = FakeStateService.Link.HEALTHY;
        if (previousLeaderFault.equals("stopped")) {
            previousLeader.start();
        }
        cluster.taskDurationS = 5;
        assertSettles(cluster, 200);
    }

    /**
     * The leader stops the tasks of cancelled jobs although it can write nothing and its leader lease is not known to be
     * held: machines that cannot report get the stops as direct commands.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"array", "gang", "service"})
    void stopsOfCancelledJobsNeedNoWrite(String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 200;
        submit(cluster, 1, jobType, 8);
        assertTrue(runUntilStarted(cluster, 8));
        cluster.runFor(4);
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        leader.stateLink = FakeStateService.Link.REFUSED;
        leader.cutFromPeers = true;
        cluster.runFor(2.2);
        assertEquals(
                "withdrawn", otherController(cluster, leader).cancel(jobId(1)).get("status"));
        cluster.stateService.outage = true;
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.reportsBlocked = true;
        }
        cluster.runFor(3); // by now the leader lease is not known to be held
        leader.cutFromPeers = false;
        cluster.runFor(2.5);
        assertTrue(leader.controller.isLeading());
        assertEquals(
                0,
                activeTaskCount(cluster, jobId(1)),
                "stopped by direct commands, well before the worker leases expire");
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.reportsBlocked = false;
        }
        cluster.stateService.recover();
        leader.stateLink = FakeStateService.Link.HEALTHY;
        assertSettles(cluster, 100);
    }

    /**
     * Users poll all controllers within milliseconds and repeat their submissions right after a job was accepted, ended or
     * cancelled: no response is older than an earlier one, as {@link SimulatedCluster} checks.
     */
    @ParameterizedTest(name = "job {0}, fault: {1}")
    @CsvSource({
        "accepted, none",
        "accepted, lost responses",
        "accepted, delayed writes",
        "accepted, new leader",
        "cancelled, none",
        "cancelled, lost responses",
        "cancelled, delayed writes",
        "cancelled, new leader",
        "cancelled, leader refused",
        "ended, none",
        "ended, lost responses",
        "ended, delayed writes",
        "ended, new leader",
        "ended, leader refused"
    })
    void noControllerGivesAnOlderResponse(String jobEvent, String fault) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 3;
        cluster.submitUntilAccepted(jobId(99), 4, false);
        cluster.runFor(10);
        int[] requestsSent = new int[1];
        boolean[] active = {true};
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            controller.stateLink = fault.equals("lost responses")
                    ? FakeStateService.Link.RESPONSES_LOST
                    : fault.equals("delayed writes")
                            ? FakeStateService.Link.WRITES_DELAYED
                            : FakeStateService.Link.HEALTHY;
        }
        for (int jobIndex = 0; jobIndex < 6; jobIndex++) {
            String id = jobId(1 + jobIndex);
            boolean cancelled = jobEvent.equals("cancelled") || jobIndex % 3 == 2;
            cluster.schedule(
                    jobIndex * 1.7,
                    () -> cluster.controllers.get(id.charAt(8) % 3).submitAsync(id, 3));
            // One request every 23 ms, at each controller in turn.
            for (int request = 0; request < 500; request++) {
                int requestIndex = request;
                cluster.schedule(jobIndex * 1.7 + 0.004 + request * 0.023, () -> {
                    if (!active[0]) {
                        return;
                    }
                    SimulatedCluster.ControllerProcess controller = cluster.controllers.get(requestIndex % 3);
                    if (requestIndex % 7 == 3) {
                        controller.resubmit(id);
                    } else {
                        controller.requestAsync("poll", id, reply -> controller.users.poll(id, reply), null);
                    }
                    requestsSent[0]++;
                });
            }
            if (cancelled) {
                cluster.schedule(jobIndex * 1.7 + (jobEvent.equals("cancelled") ? 0.01 + jobIndex * 0.4 : 4.4), () -> {
                    for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
                        controller.requestAsync("cancellation", id, reply -> controller.users.cancel(id, reply), null);
                    }
                });
            }
        }
        if (fault.equals("new leader")) {
            for (double atS : new double[] {2, 6.2}) {
                cluster.schedule(atS, () -> cluster.leader().restartAfter(0.2));
            }
        }
        if (fault.equals("leader refused")) {
            cluster.schedule(4, () -> {
                SimulatedCluster.ControllerProcess leader = cluster.leader();
                leader.stateLink = FakeStateService.Link.REFUSED;
                cluster.schedule(7, () -> leader.stateLink = FakeStateService.Link.HEALTHY);
            });
        }
        cluster.runFor(22);
        active[0] = false;
        if (fault.equals("lost responses")) {
            assertTrue(cluster.stateService.writesWithLostResponse > 5, "responses were lost");
        }
        if (fault.equals("delayed writes")) {
            assertTrue(cluster.stateService.delayedWritesSucceeded > 2, "delayed writes were applied");
        }
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            controller.stateLink = FakeStateService.Link.HEALTHY;
        }
        assertTrue(requestsSent[0] > 2500);
        assertSettles(cluster, 120);
        assertTrue(cluster.acceptedJobs().size() > 3, "some jobs were accepted during the fault");
    }

    /**
     * A cancellation is written just before the leader's write that ends the job, and the leader is isolated before it can
     * read which of them took effect; another leader finishes the job. The old leader must then report the outcome that was
     * acknowledged.
     */
    @ParameterizedTest(
            name = "isolated {0} s after its write was sent, reconnected {1} s after another leader finished the job")
    @CsvSource({
        "0.002, 0",
        "0.002, 0.05",
        "0.002, 0.1",
        "0.002, 0.15",
        "0.002, 0.2",
        "0.002, 0.25",
        "0.002, 0.3",
        "0.02, 0.1"
    })
    void aLeaderRefusedDuringItsFinalWriteReportsTheRecordedOutcome(double isolatedAfterS, double reconnectedAfterS) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 6;
        cluster.submitUntilAccepted(jobId(1), 1, false);
        assertTrue(runUntilStarted(cluster, 1));
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        SimulatedCluster.ControllerProcess respondingController = otherController(cluster, oldLeader);
        boolean[] intercepted = new boolean[1];
        // The cancellation is written just before the write that ends the job; then the leader is isolated.
        cluster.stateService.onTransaction = (from, body) -> {
            if (intercepted[0] || from != oldLeader || !body.toString().contains("delete=j/" + jobId(1))) {
                return;
            }
            intercepted[0] = true;
            cluster.stateService.onTransaction = null;
            Map<String, Object> jobRecord =
                    new HashMap<>(org.mountlug.wire.Fields.asMap(cluster.stateService.value("j/" + jobId(1))));
            jobRecord.put("x", true);
            cluster.stateService.writeUnchecked("j/" + jobId(1), jobRecord);
            cluster.schedule(isolatedAfterS, () -> {
                oldLeader.stateLink = FakeStateService.Link.REFUSED;
                oldLeader.cutFromPeers = oldLeader.cutFromWorkers = true;
            });
            cluster.schedule(
                    isolatedAfterS + 0.001,
                    () -> respondingController.requestAsync(
                            "cancellation",
                            jobId(1),
                            reply -> respondingController.users.cancel(jobId(1), reply),
                            null));
        };
        assertTrue(cluster.runUntil(30, () -> intercepted[0]));
        assertTrue(
                cluster.runUntil(
                        15, () -> cluster.leader() != oldLeader && cluster.stateService.value("f/" + jobId(1)) != null),
                "another leader finished the job");
        // The old leader reads the outcome of its write while it still takes itself for the leader.
        cluster.runFor(reconnectedAfterS);
        oldLeader.stateLink = FakeStateService.Link.HEALTHY;
        for (int i = 0; i < 40; i++) {
            cluster.runFor(0.05);
            for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
                controller.requestAsync("poll", jobId(1), reply -> controller.users.poll(jobId(1), reply), null);
            }
        }
        oldLeader.cutFromPeers = oldLeader.cutFromWorkers = false;
        assertSettles(cluster, 60);
        assertEquals("withdrawn", cluster.outcome(jobId(1)));
    }

    /**
     * Two teams are at their limits, some of their machines are cut off or hang, jobs are cancelled meanwhile, and the
     * leader changes: no team exceeds its limit. A leader that restarts at -1 s does so before the machines fail.
     */
    @ParameterizedTest(name = "machines {0} for {1} s, leader restarts {2} s after the cancellations, {3}")
    @CsvSource({
        "disconnected, 6, 0.3, array",
        "disconnected, 14, 0.3, gang",
        "disconnected, 14, -1, array",
        "disconnected, 40, 0.3, service",
        "hung, 6, 0.3, array",
        "hung, 9, -1, gang",
        "hung, 9, 2, service",
        "hung, 14, 0.3, gang",
        "reports blocked, 14, 0.3, array",
        "inbound blocked, 14, 0.3, array",
        "disconnected, 8, 5, gang"
    })
    void aTeamAtItsLimitWithUnreachableCancelledTasks(
            String fault, double faultS, double leaderRestartS, String jobType) {
        SimulatedCluster cluster =
                new SimulatedCluster(3, List.of(new Team("t", 0, 24, 0, 0, 1), new Team("u", 0, 12, 0, 0, 1)));
        cluster.taskDurationS = 150;
        for (int i = 1; i <= 3; i++) {
            submit(cluster, i, jobType, 8);
        }
        for (int i = 11; i <= 13; i++) {
            cluster.submitUntilAccepted(jobId(i), 4, false, Map.of("crew", "u"));
        }
        assertTrue(
                cluster.runUntil(90, () -> cluster.usedCpus("t") >= 24 && cluster.usedCpus("u") >= 12),
                "both teams are at their limits");
        for (int i = 4; i <= 6; i++) {
            submit(cluster, i, jobType, 8);
        }
        for (int i = 14; i <= 16; i++) {
            cluster.submitUntilAccepted(jobId(i), 4, false, Map.of("crew", "u"));
        }
        cluster.runFor(3);
        List<SimulatedWorker> affectedWorkers =
                new ArrayList<>(cluster.workers.values()).subList(0, cluster.workers.size() / 2 + 1);
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        if (leaderRestartS < 0) {
            oldLeader.restartAfter(1);
        }
        for (SimulatedWorker worker : affectedWorkers) {
            worker.disconnected = fault.equals("disconnected");
            worker.reportsBlocked = fault.equals("reports blocked");
            worker.inboundBlocked = fault.equals("inbound blocked");
            if (fault.equals("hung")) {
                worker.hungUntilS = cluster.nowS + faultS;
            }
            cluster.schedule(faultS, () -> worker.disconnected = worker.reportsBlocked = worker.inboundBlocked = false);
        }
        cluster.runFor(0.2);
        assertTrue(cluster.usedCpus("t") >= 24 - 1e-6, "team t is still at its limit");
        SimulatedCluster.ControllerProcess respondingController = cluster.controllers.stream()
                .filter(controller -> controller != oldLeader)
                .findFirst()
                .orElseThrow();
        for (int i : new int[] {1, 2, 11}) {
            respondingController.cancel(jobId(i));
        }
        if (leaderRestartS >= 0) {
            cluster.schedule(leaderRestartS, () -> oldLeader.restartAfter(1));
        }
        cluster.runFor(faultS + 5);
        assertTrue(cluster.cancelAcknowledgedAtS.containsKey(jobId(1)));
        cluster.taskDurationS = 5;
        for (int i = 1; i <= 6; i++) {
            if (jobType.equals("service") && i > 2) {
                cluster.controllers.get(0).cancel(jobId(i));
            }
        }
        assertSettles(cluster, 200);
        assertTrue(cluster.peakTeamLimitShare > 0.99);
    }

    /**
     * Jobs are cancelled in the seconds around a change of leader; the leader changes once more, and then all controllers
     * restart.
     */
    @ParameterizedTest(name = "{0} s after the leader stops, {1}")
    @CsvSource({
        "-0.5, array",
        "-0.01, gang",
        "0.01, array",
        "0.2, service",
        "0.5, gang",
        "1, array",
        "2, array",
        "4, gang"
    })
    void cancellationsAroundLeaderChanges(double offsetS, String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(5);
        cluster.taskDurationS = 120;
        for (int i = 1; i <= 4; i++) {
            submit(cluster, i, jobType, 4);
        }
        assertTrue(runUntilStarted(cluster, 16));
        cluster.runFor(3);
        int[] responseCount = new int[1];
        for (int i = 1; i <= 3; i++) {
            String id = jobId(i);
            double cancelAtS = 1 + offsetS + i * 0.13;
            for (int index = 0; index < 5; index++) {
                SimulatedCluster.ControllerProcess controller = cluster.controllers.get(index);
                cluster.schedule(
                        cancelAtS + index * 0.4,
                        () -> controller.requestAsync(
                                "cancellation",
                                id,
                                reply -> controller.users.cancel(id, reply),
                                response -> responseCount[0]++));
            }
        }
        cluster.schedule(1, () -> cluster.leader().restartAfter(0.3));
        cluster.schedule(6, () -> {
            if (cluster.leader() != null) {
                cluster.leader().restartAfter(0.1);
            }
        });
        cluster.schedule(9, () -> {
            for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
                controller.restartAfter(
                        0.2 + 0.3 * cluster.controllers.indexOf(controller)); // all stop, and start one after the other
            }
        });
        cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 14);
        assertTrue(responseCount[0] >= 3);
        for (int i = 1; i <= 3; i++) {
            assertEquals(0, activeTaskCount(cluster, jobId(i)));
        }
        cluster.taskDurationS = 5;
        assertSettles(cluster, 200);
    }

    /**
     * Four one-task jobs a second are submitted, a quarter of them is cancelled and a third submitted again, while leaders
     * change: at most five requests exceed the rate limits of the state service.
     */
    @Test
    void manyOneTaskJobsWithAQuarterCancelled() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 2;
        cluster.stateService.requestsPerS = 200;
        cluster.stateService.writesPerS = 25;
        for (int i = 0; i < 240; i++) {
            int number = i;
            cluster.schedule(2 + i * 0.25, () -> {
                SimulatedCluster.ControllerProcess controller = cluster.controllers.get(number % 3);
                if (controller.up) {
                    controller.submitAsync(jobId(number), 1);
                }
                if (number % 3 == 0) {
                    cluster.schedule(6 + number % 11, () -> {
                        if (cluster.acceptedJobs().contains(jobId(number))) {
                            cluster.controllers.get((number + 2) % 3).resubmit(jobId(number));
                        }
                    });
                }
                if (number % 4 == 1) {
                    cluster.schedule(0.05 + number % 13 * 0.3, () -> {
                        SimulatedCluster.ControllerProcess nextController = cluster.controllers.get((number + 1) % 3);
                        nextController.requestAsync(
                                "cancellation",
                                jobId(number),
                                reply -> nextController.users.cancel(jobId(number), reply),
                                null);
                    });
                }
            });
        }
        for (double atS = 12; atS < 60; atS += 12) {
            cluster.schedule(atS, () -> {
                if (cluster.leader() != null) {
                    cluster.leader().restartAfter(0.5);
                }
            });
        }
        cluster.runFor(66);
        assertTrue(cluster.acceptedJobs().size() > 150);
        assertTrue(cluster.cancelAcknowledgedAtS.size() > 30);
        // About eight writes a second come from users' requests and as many from running the jobs. Both have their own
        // part of the rate limit.
        assertTrue(
                cluster.stateService.rateLimitedRequests <= 5,
                () -> cluster.stateService.rateLimitedRequests + " requests were over the limits");
        assertSettles(cluster, 150);
    }

    /**
     * Once a cancellation is acknowledged, no task of the job starts any more, except by commands that the leader sends
     * before it can know of the cancellation: it learns of it from its watch almost at once, or from its peers within a
     * second while the state service refuses it.
     */
    @ParameterizedTest(name = "cancelled {0} s after the write of its placements, leader {1}")
    @CsvSource({
        "0.001, healthy",
        "0.005, healthy",
        "0.02, healthy",
        "0.1, healthy",
        "0.3, healthy",
        "0.001, refused",
        "0.005, refused",
        "0.02, refused",
        "0.1, refused",
        "0.3, refused",
        "0.02, restarts",
        "0.005, restarts"
    })
    void nothingStartsOnceTheLeaderCanKnowOfACancellation(double afterS, String fault) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 30;
        cluster.submitUntilAccepted(jobId(90), 24, false, Map.of("dueS", 20.0));
        assertTrue(cluster.runUntil(60, () -> activeTaskCount(cluster, jobId(90)) == 24));
        cluster.controllers.get(0).cancel(jobId(90));
        cluster.runFor(4);
        cluster.latestStartAfterCancelS = -1;
        int[] cancellationCount = new int[1];
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        SimulatedCluster.ControllerProcess respondingController = otherController(cluster, leader);
        for (int i = 1; i <= 4; i++) {
            String id = jobId(i);
            cluster.schedule(0.35 * i, () -> respondingController.submitAsync(id, 5));
        }
        cluster.stateService.onTransaction = (from, body) -> {
            for (int i = 1; i <= 4; i++) {
                String id = jobId(i);
                if (from != leader
                        || cluster.cancelAcknowledgedAtS.containsKey(id)
                        || !body.toString().contains("put=j/" + id)) {
                    continue;
                }
                cluster.schedule(afterS, () -> {
                    if (fault.equals("refused")) {
                        leader.stateLink = FakeStateService.Link.REFUSED;
                    }
                    if (fault.equals("restarts") && leader.up) {
                        leader.restartAfter(0.3);
                    }
                    respondingController.requestAsync(
                            "cancellation",
                            id,
                            reply -> respondingController.users.cancel(id, reply),
                            response -> cancellationCount[0]++);
                });
            }
        };
        cluster.runFor(5);
        cluster.stateService.onTransaction = null;
        leader.stateLink = FakeStateService.Link.HEALTHY;
        assertTrue(cancellationCount[0] > 0, "jobs were cancelled just after they were placed");
        cluster.runFor(10);
        double maxDelayS = fault.equals("refused") ? 1.1 : 0.4;
        assertTrue(
                cluster.latestStartAfterCancelS < maxDelayS,
                () -> "a task started " + cluster.latestStartAfterCancelS + " s after the cancellation");
        assertSettles(cluster, 100);
    }

    /** A cancellation, a poll and a repeated submission reach every controller around the end of a job's last task. */
    @ParameterizedTest(name = "{0}, {1} s after the end")
    @CsvSource({
        "array, -0.4",
        "array, -0.05",
        "array, 0",
        "array, 0.05",
        "array, 0.25",
        "array, 0.5",
        "gang, -0.05",
        "gang, 0.1",
        "gang, 0.4",
        "gang, 0.9"
    })
    void requestsAroundTheEndOfTheLastTask(String jobType, double afterS) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 6;
        for (int i = 1; i <= 8; i++) {
            submit(cluster, i, jobType, 2);
        }
        assertTrue(runUntilStarted(cluster, 16));
        boolean[] requestsSent = new boolean[9];
        for (double atS = 0; atS < 12; atS += 0.05) {
            cluster.schedule(atS, () -> {
                for (int i = 1; i <= 8; i++) {
                    String id = jobId(i);
                    double shortestRunS = cluster.workers.values().stream()
                            .flatMap(worker -> worker.activeTasks().stream())
                            .filter(task -> task.jobId.equals(id))
                            .mapToDouble(task -> task.elapsedRunS)
                            .min()
                            .orElse(99);
                    if (requestsSent[i] || shortestRunS < cluster.taskDurationS + Math.min(0, afterS) - 0.01) {
                        continue;
                    }
                    requestsSent[i] = true;
                    cluster.schedule(Math.max(0, afterS), () -> {
                        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
                            controller.requestAsync(
                                    "cancellation", id, reply -> controller.users.cancel(id, reply), null);
                            controller.requestAsync("poll", id, reply -> controller.users.poll(id, reply), null);
                            controller.resubmit(id);
                        }
                    });
                }
            });
        }
        cluster.runFor(14);
        for (int i = 1; i <= 8; i++) {
            assertTrue(requestsSent[i]);
        }
        assertSettles(cluster, 60);
    }

    /**
     * Machines hang for less than their lease while a job is cancelled, and hang again as soon as they continue: the
     * cancelled tasks end by the deadline.
     */
    @ParameterizedTest(name = "hung {0} s from {1} s before the cancellation, leader restarts {2}, {3}")
    @CsvSource({
        "9, 0.2, false, array",
        "9, 5, false, gang",
        "9.5, 0.1, true, array",
        "9, 3, true, gang",
        "9, 1, true, service",
        "6, 0.5, true, array"
    })
    void cancelledTasksOnMachinesThatHangWithinTheirLease(
            double hangS, double cancelAfterS, boolean leaderRestarts, String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 200;
        submit(cluster, 1, jobType, 8);
        submit(cluster, 2, jobType, 4);
        assertTrue(runUntilStarted(cluster, 12));
        cluster.runFor(3);
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.hungUntilS = cluster.nowS + hangS;
        }
        cluster.runFor(cancelAfterS);
        assertEquals("withdrawn", cluster.controllers.get(0).cancel(jobId(1)).get("status"));
        if (leaderRestarts) {
            cluster.leader().restartAfter(0.2);
        }
        cluster.runFor(hangS - cancelAfterS + 0.1);
        // The machines hang once more as soon as they continue, each time for less than their lease.
        cluster.runFor(0.4);
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.hungUntilS = cluster.nowS + hangS;
        }
        if (leaderRestarts && cluster.leader() != null) {
            cluster.leader().restartAfter(0.2);
        }
        cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 1);
        assertEquals(0, activeTaskCount(cluster, jobId(1)));
        cluster.taskDurationS = 5;
        if (jobType.equals("service")) {
            cluster.controllers.get(0).cancel(jobId(2));
        }
        assertSettles(cluster, 200);
    }
}
