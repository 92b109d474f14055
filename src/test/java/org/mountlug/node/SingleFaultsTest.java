package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.api.UserResponseCodec;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Team;

/**
 * Runs controllers in a {@link SimulatedCluster} through one fault at a time. In every case the simulated workers check
 * that no task runs twice or after its cancellation, and the fake state service checks that its limits are kept.
 */
class SingleFaultsTest {
    /** Seconds within which polls of every job must be answered once the fault is over. */
    private static final double ANSWER_TIMEOUT_S = 75;

    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    private static void submitJobs(SimulatedCluster cluster, int first, int count) {
        for (int i = 0; i < count; i++) {
            cluster.submitUntilAccepted(id(first + i), 1 + i % 4 * 3, i % 3 == 2);
        }
    }

    private static void assertAllDone(SimulatedCluster cluster, int first, int count, double timeoutS) {
        for (int i = 0; i < count; i++) {
            String id = id(first + i);
            assertTrue(
                    cluster.runUntil(timeoutS, () -> cluster.pollStatus(id, 5).equals("done")),
                    () -> id + " is " + cluster.pollStatus(id, 5));
        }
        assertEquals(List.of(), cluster.violations());
    }

    @ParameterizedTest(name = "{0} controllers")
    @ValueSource(ints = {1, 3, 5, 7})
    void allJobsRunWithoutFaults(int controllers) {
        SimulatedCluster cluster = new SimulatedCluster(controllers);
        submitJobs(cluster, 1, 9);
        assertAllDone(cluster, 1, 9, 120);
        assertEquals(
                1,
                cluster.controllers.stream()
                        .filter(process -> process.controller.isLeading())
                        .count());
    }

    /**
     * Controllers, the leader among them, restart after a fraction of a second or several seconds, once or again during the
     * election that follows: accepted jobs are neither lost nor left undone.
     */
    @ParameterizedTest(name = "{0} of 5 controllers restart within {1} s, a second time after {2} s")
    @CsvSource({"1, 5, 0", "1, 0.2, 0", "5, 5, 0", "5, 0.2, 0", "5, 0.3, 0.9", "3, 0.1, 4.2", "5, 8, 11"})
    void acceptedJobsSurviveControllerRestarts(int count, double downtimeS, double secondRestartAfterS) {
        SimulatedCluster cluster = new SimulatedCluster(5);
        submitJobs(cluster, 1, 6);
        cluster.submitUntilAccepted(id(50), 400, false);
        cluster.runFor(3);
        for (int round = 0; round < (secondRestartAfterS > 0 ? 2 : 1); round++) {
            List<SimulatedCluster.ControllerProcess> restartOrder = new ArrayList<>(cluster.controllers);
            SimulatedCluster.ControllerProcess leader = cluster.leader();
            if (leader != null) {
                restartOrder.remove(leader);
                restartOrder.add(0, leader);
            }
            for (SimulatedCluster.ControllerProcess controller : restartOrder.subList(0, count)) {
                controller.restartAfter(downtimeS);
            }
            if (round == 0 && secondRestartAfterS > 0) {
                cluster.runFor(secondRestartAfterS);
            }
        }
        cluster.runFor(downtimeS);
        for (int i : new int[] {1, 2, 3, 4, 5, 6, 50}) {
            String status = cluster.pollStatus(id(i), ANSWER_TIMEOUT_S);
            assertTrue(List.of("pending", "running", "done").contains(status), status);
        }
        assertAllDone(cluster, 1, 6, 200);
        assertAllDone(cluster, 50, 1, 300);
    }

    /** All controllers restart while a job of the protocol's largest size runs; no stored value exceeds its limit. */
    @Test
    void aJobOfTheLargestSizeSurvivesRestarts() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.submitUntilAccepted(id(1), 100_000, false);
        assertTrue(cluster.runUntil(120, () -> cluster.pollStatus(id(1), 5).equals("running")));
        cluster.runFor(40);
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            controller.restartAfter(0.5);
        }
        cluster.runFor(1);
        assertEquals("running", cluster.pollStatus(id(1), ANSWER_TIMEOUT_S));
        cluster.submitUntilAccepted(id(2), 8, false);
        assertAllDone(cluster, 2, 1, 240);
        assertTrue(cluster.stateService.largestValueBytes > 500);
    }

    /** The status of a job must not depend on unreadable records of other jobs or on watches that were interrupted. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(
            strings = {"unreadable record", "outage", "outage and all restart", "leader refused", "leader partitioned"})
    void theStatusOfEveryJobIsAvailableAfterAFault(String fault) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        submitJobs(cluster, 1, 5);
        cluster.runFor(4);
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        switch (fault) {
            case "unreadable record" -> {
                cluster.stateService.writeUnchecked("j/" + id(900), Map.of("s", Map.of("u", 99, "n", "x"), "p", "?.?"));
                cluster.stateService.writeUnchecked("r/" + id(901), Map.of("t", List.of("nonsense")));
                for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
                    controller.restartAfter(1);
                }
            }
            case "leader refused" -> leader.stateLink = FakeStateService.Link.REFUSED;
            case "leader partitioned" -> leader.stateLink = FakeStateService.Link.PARTITIONED;
            default -> cluster.stateService.outage = true;
        }
        cluster.runFor(8);
        if (fault.endsWith("all restart")) {
            for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
                controller.restartAfter(1);
            }
        }
        cluster.runFor(12);
        leader.stateLink = FakeStateService.Link.HEALTHY;
        cluster.stateService.recover();
        for (int i = 1; i <= 5; i++) {
            String status = cluster.pollStatus(id(i), ANSWER_TIMEOUT_S);
            assertTrue(List.of("pending", "running", "done").contains(status), status);
        }
        submitJobs(cluster, 20, 2);
        assertAllDone(cluster, 1, 5, 200);
        assertAllDone(cluster, 20, 2, 100);
    }

    /** A stream of jobs of a higher priority or of another team may delay a job, but must not keep it from starting. */
    @ParameterizedTest(name = "job of {0} tasks, priority {1}, gang {2}, behind priority {3} of team {4}")
    @CsvSource({
        "300, standard, false, high, t",
        "300, high, false, high, u",
        "4, standard, true, high, t",
        "200, idle, false, prod, u",
        "4, high, true, high, t"
    })
    void noJobStarvesBehindOthers(int tasks, String priority, boolean gang, String otherPriority, String team) {
        SimulatedCluster cluster =
                new SimulatedCluster(3, List.of(new Team("t", 0, 0, 0, 0, 1), new Team("u", 0, 0, 0, 0, 1)));
        cluster.cloud.capacity = 5;
        cluster.taskDurationS = 8;
        for (int i = 0; i < 4; i++) {
            cluster.submitUntilAccepted(id(100 + i), 20, false, Map.of("crew", team, "urgency", otherPriority));
        }
        Map<String, Object> bigJobFields = new HashMap<>(Map.of("urgency", priority));
        if (gang) {
            bigJobFields.putAll(Map.of("vcpus", 4.0));
        }
        cluster.submitUntilAccepted(id(1), tasks, gang, bigJobFields);
        for (int i = 0; i < 24; i++) {
            cluster.submitUntilAccepted(id(200 + i), 30, false, Map.of("crew", team, "urgency", otherPriority));
            cluster.runFor(10);
            if (cluster.pollStatus(id(1), 5).equals("running")) {
                break;
            }
        }
        assertTrue(List.of("running", "done").contains(cluster.pollStatus(id(1), 5)), cluster.pollStatus(id(1), 5));
        assertEquals(List.of(), cluster.violations());
    }

    /**
     * The reports of a machine arrive, but neither responses nor commands reach it: it gets no more work, and its tasks are
     * run on other machines.
     */
    @ParameterizedTest(name = "gang {0}, unreachable from the start {1}")
    @CsvSource({"false, false", "true, false", "false, true", "true, true"})
    void aMachineThatReceivesNothingGetsNoMoreWork(boolean gang, boolean fromStart) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 20;
        cluster.submitUntilAccepted(id(9), 1, false);
        assertTrue(cluster.runUntil(60, () -> !cluster.workers.isEmpty()));
        SimulatedWorker unreachable = cluster.workers.values().iterator().next();
        cluster.runFor(4);
        unreachable.inboundBlocked = fromStart;
        cluster.submitUntilAccepted(id(1), gang ? 8 : 12, gang);
        if (!fromStart) {
            assertTrue(cluster.runUntil(60, () -> !unreachable.tasks.isEmpty()));
            unreachable.inboundBlocked = true;
        }
        assertAllDone(cluster, 1, 1, gang ? 130 : 90);
        assertAllDone(cluster, 9, 1, 60);
        // Without tasks the unreachable machine is returned; until then it gets no task and delays no job.
        int startsBefore = unreachable.startCount;
        cluster.submitUntilAccepted(id(2), 12, false);
        assertAllDone(cluster, 2, 1, 90);
        assertEquals(startsBefore, unreachable.startCount);
        cluster.commandNetwork.heldCalls.forEach(Runnable::run);
        cluster.runFor(5);
        assertEquals(List.of(), cluster.violations());
    }

    /** Direct commands that reach workers late, their responses lost, make no task run twice or after its cancellation. */
    @ParameterizedTest(name = "{0} s late, cancelled {1}, new leader {2}")
    @CsvSource({
        "1, false, false",
        "3, true, false",
        "6, false, false",
        "6, true, false",
        "25, false, false",
        "25, true, false",
        "45, true, false",
        "60, true, true",
        "9, false, true"
    })
    void lateDirectCommandsDoNoHarm(double delayS, boolean cancelled, boolean newLeader) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.submitUntilAccepted(id(9), 1, false);
        cluster.runFor(12);
        cluster.commandNetwork.delayS = delayS;
        cluster.taskDurationS = 15;
        cluster.submitUntilAccepted(id(1), 6, true);
        cluster.submitUntilAccepted(id(2), 4, true);
        cluster.runFor(2);
        if (cancelled) {
            cluster.controllers.get(0).cancel(id(1));
        }
        if (newLeader) {
            cluster.leader().restartAfter(1);
        }
        cluster.runFor(40);
        cluster.commandNetwork.delayS = 0;
        if (cancelled) {
            assertEquals("withdrawn", cluster.pollStatus(id(1), ANSWER_TIMEOUT_S));
        } else {
            assertAllDone(cluster, 1, 1, 150);
        }
        assertAllDone(cluster, 2, 1, 150);
        cluster.runFor(70);
        assertEquals(List.of(), cluster.violations());
    }

    /**
     * Late copies of reports, handled by the same leader or a new one, do not count as a sign of life of a machine, renew no
     * lease and bring back no session.
     */
    @ParameterizedTest(name = "copies {0} s late, new leader {1}")
    @CsvSource({"3, false", "3, true", "15, false", "15, true", "40, false", "40, true"})
    void lateCopiesOfReportsChangeNothing(double delayS, boolean newLeader) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 12;
        submitJobs(cluster, 1, 8);
        cluster.runFor(10);
        List<Report> copies = new ArrayList<>();
        for (SimulatedWorker worker : cluster.workers.values()) {
            copies.addAll(worker.sentReports);
        }
        if (newLeader) {
            cluster.leader().restartAfter(6);
        }
        // One machine is cut off for longer than its lease, so that copies of its reports belong to an older session.
        SimulatedWorker disconnectedWorker = cluster.workers.values().iterator().next();
        disconnectedWorker.disconnected = true;
        cluster.schedule(14, () -> disconnectedWorker.disconnected = false);
        for (Report report : copies) {
            cluster.schedule(delayS, () -> {
                for (SimulatedCluster.ControllerProcess process : cluster.controllers) {
                    if (process.up) {
                        process.controller.handleReport(report);
                    }
                }
            });
        }
        cluster.runFor(delayS + 1);
        assertAllDone(cluster, 1, 8, 200);
        cluster.runFor(90);
        assertTrue(cluster.workers.size() <= 2, "idle machines are returned despite the copies");
        for (Report report : copies) {
            for (SimulatedCluster.ControllerProcess process : cluster.controllers) {
                process.controller.handleReport(report);
            }
        }
        cluster.runFor(30);
        assertEquals(List.of(), cluster.violations());
    }

    /**
     * A leader that reaches its workers but neither the state service nor its peers does no harm: a cancellation that
     * another controller acknowledges takes effect in time.
     */
    @ParameterizedTest(name = "for {0} s, its transactions are applied late: {1}")
    @CsvSource({"12, false", "40, true", "70, true"})
    void aLeaderThatReachesOnlyItsWorkersDoesNoHarm(double durationS, boolean transactionsHeld) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 300;
        cluster.submitUntilAccepted(id(1), 8, false);
        assertTrue(cluster.runUntil(60, () -> cluster.pollStatus(id(1), 5).equals("running")));
        cluster.runFor(5);
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        oldLeader.stateLink = FakeStateService.Link.PARTITIONED;
        oldLeader.cutFromPeers = true;
        cluster.runFor(6);
        int starts = cluster.workers.values().stream()
                .mapToInt(worker -> worker.startCount)
                .sum();
        SimulatedCluster.ControllerProcess otherController = cluster.controllers.stream()
                .filter(controller -> controller != oldLeader)
                .findFirst()
                .orElseThrow();
        assertTrue(
                cluster.runUntil(10, () -> cluster.leader() != null && cluster.leader() != oldLeader),
                "another controller leads");
        // The isolated leader must not report an older status than the acknowledged one; no response is correct too.
        Map<String, Object> response = otherController.cancel(id(1));
        assertNotNull(response);
        assertEquals("withdrawn", response.get("status"));
        Map<String, Object> oldLeaderResponse = oldLeader.poll(id(1));
        assertTrue(oldLeaderResponse == null
                || (int) oldLeaderResponse.get("code") != 200
                || "withdrawn".equals(oldLeaderResponse.get("status")));
        cluster.submitUntilAccepted(id(2), 2, false);
        cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 1);
        for (SimulatedWorker worker : cluster.workers.values()) {
            assertTrue(
                    worker.tasks.values().stream().noneMatch(task -> task.jobId.equals(id(1))),
                    "no cancelled task runs after the deadline");
        }
        assertTrue(starts >= 8);
        cluster.runFor(Math.max(0, durationS - SimulatedCluster.CANCEL_DEADLINE_S));
        oldLeader.stateLink = FakeStateService.Link.HEALTHY;
        oldLeader.cutFromPeers = false;
        if (transactionsHeld) {
            cluster.stateService.heldTransactions.forEach(Runnable::run);
        }
        cluster.taskDurationS = 2;
        cluster.runFor(5);
        assertEquals("withdrawn", cluster.pollStatus(id(1), ANSWER_TIMEOUT_S));
        assertEquals("withdrawn", oldLeader.poll(id(1)).get("status"));
        assertAllDone(cluster, 2, 1, 100);
        assertEquals(
                1,
                cluster.controllers.stream()
                        .filter(process -> process.controller.isLeading())
                        .count());
    }

    /**
     * All workers restart at once with a new session and no tasks while the leader changes: messages of their old sessions
     * have no effect, and the job is completed.
     */
    @Test
    void aWorkerThatRestartsAtOnceStartsAnew() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 15;
        cluster.submitUntilAccepted(id(1), 8, false);
        assertTrue(cluster.runUntil(60, () -> cluster.pollStatus(id(1), 5).equals("running")));
        for (SimulatedWorker worker : new ArrayList<>(cluster.workers.values())) {
            worker.tasks.clear();
            worker.session++;
            worker.leaseStartS = cluster.nowS;
            worker.token = 0;
        }
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        leader.restartAfter(0.2); // so that an election takes place as well
        assertAllDone(cluster, 1, 1, 120);
    }

    /** Submissions and cancellations that are repeated after the end of a job return its final status and change nothing. */
    @Test
    void lateRepeatsOfRequestsChangeNothing() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.submitUntilAccepted(id(1), 3, false);
        cluster.submitUntilAccepted(id(2), 3, false);
        cluster.runFor(2);
        assertEquals("withdrawn", cluster.controllers.get(0).cancel(id(2)).get("status"));
        assertAllDone(cluster, 1, 1, 60);
        cluster.runFor(40);
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            controller.restartAfter(0.3);
        }
        cluster.runFor(10);
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            assertEquals("done", controller.submit(id(1), 3, false).get("status"));
            assertEquals("done", controller.cancel(id(1)).get("status"));
            assertEquals("withdrawn", controller.submit(id(2), 3, false).get("status"));
            assertEquals("withdrawn", controller.cancel(id(2)).get("status"));
            assertEquals(404, controller.poll(id(3)).get("code"));
            assertEquals(404, controller.cancel(id(3)).get("code"));
        }
        assertEquals(List.of(), cluster.violations());
    }

    /**
     * An invalid submission is refused at once with the status code that fits; a repeated submission of an accepted job gets
     * 200 whatever its other fields are.
     */
    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "valid, 201",
        "the largest size, 201",
        "not CBOR, 400",
        "over 64 KiB, 400",
        "too many tasks, 400",
        "no tasks, 400",
        "field missing, 400",
        "unknown shape, 400",
        "unknown team, 422",
        "fits no machine type, 422",
        "gang over limit, 422",
        "array over limit, 201",
        "already accepted, 200"
    })
    void submissionsAreValidatedAtOnce(String submission, int code) {
        SimulatedCluster cluster = new SimulatedCluster(3, List.of(new Team("t", 0, 40, 0, 0, 1)));
        cluster.runFor(5);
        SimulatedCluster.ControllerProcess controller = cluster.controllers.get(1);
        Map<String, Object> extraFields = new HashMap<>();
        switch (submission) {
            case "field missing" -> extraFields.put("urgency", null);
            case "unknown shape" -> extraFields.put("shape", "heap");
            case "unknown team" -> extraFields.put("crew", "nobody");
            case "fits no machine type" -> extraFields.put("vcpus", 5.0);
            case "over 64 KiB" -> extraFields.put("note", "x".repeat(70_000));
            case "already accepted" -> {
                assertEquals(201, controller.submit(id(1), 3, false).get("code"));
                extraFields.put("vcpus", -1.0);
            }
            default -> {}
        }
        int tasks =
                switch (submission) {
                    case "the largest size" -> 100_000;
                    case "too many tasks" -> 100_001;
                    case "no tasks" -> 0;
                    case "gang over limit", "array over limit" -> 41;
                    default -> 3;
                };
        double sentAtS = cluster.nowS;
        Map<String, Object> response = submission.equals("not CBOR")
                ? controller.request(reply -> controller.users.submit(new byte[] {-1, 3}, reply))
                : controller.submit(id(1), tasks, submission.startsWith("gang"), extraFields);
        assertEquals(code, response.get("code"));
        assertTrue(cluster.nowS - sentAtS < 0.6);
    }

    /** Polls beyond a controller's part of the rate limit get 429 at once, and all other polls are answered. */
    @Test
    void requestsOverTheRateLimitAreRefusedAtOnce() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.runFor(5);
        List<Integer> codes = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            cluster.controllers
                    .get(1)
                    .users
                    .poll(id(500 + i), response -> codes.add(UserResponseCodec.status(response)));
        }
        long refused = codes.stream().filter(code -> code == 429).count();
        assertTrue(refused > 100, "refused at once, before any response of the state service");
        cluster.runFor(2);
        assertEquals(400, codes.size());
        assertEquals(400 - refused, codes.stream().filter(code -> code == 404).count());
    }

    /** Without the state service, requests get 503 at once, so that users can retry or ask another controller. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"outage", "refused"})
    void requestsAreRefusedAtOnceWithoutTheStateService(String fault) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.submitUntilAccepted(id(1), 3, false);
        cluster.runFor(5);
        if (fault.equals("outage")) {
            cluster.stateService.outage = true;
        } else {
            cluster.controllers.forEach(controller -> controller.stateLink = FakeStateService.Link.REFUSED);
        }
        double sentAtS = cluster.nowS;
        assertEquals(503, cluster.controllers.get(1).submit(id(7), 3, false).get("code"));
        assertEquals(503, cluster.controllers.get(1).cancel(id(1)).get("code"));
        assertTrue(cluster.nowS - sentAtS < 1.1);
    }

    /**
     * A leader whose process has stopped is replaced before its leader lease expires; a leader is not replaced when a
     * network filter merely refuses connections between the controllers.
     */
    @ParameterizedTest(name = "{0} controllers, filter {1}")
    @CsvSource({"3, false", "7, false", "3, true", "7, true"})
    void aStoppedLeaderIsReplacedSoonButNotOneBehindAFilter(int controllers, boolean peersFiltered) {
        SimulatedCluster cluster = new SimulatedCluster(controllers);
        cluster.submitUntilAccepted(id(1), 2, false);
        cluster.runFor(10);
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        long token = oldLeader.token();
        if (peersFiltered) {
            cluster.peersRefuseConnections = true;
        } else {
            oldLeader.kill();
        }
        cluster.runFor(3.4);
        if (peersFiltered) {
            cluster.runFor(20);
            assertEquals(token, cluster.leader().token());
        } else {
            assertNotNull(cluster.leader());
            assertTrue(cluster.leader().token() > token);
        }
        assertAllDone(cluster, 1, 1, 60);
    }

    /**
     * A leader process is paused while its clocks run on, at any time or between a decision and the request that carries it
     * out: afterwards it does not act on its outdated state, and the delayed request does no harm.
     */
    @ParameterizedTest(name = "for {0} s at {1}, cancelled {2}")
    @CsvSource({
        "3, any, false",
        "6, any, true",
        "14, any, true",
        "28, any, false",
        "6, /commands, true",
        "9, /commands, false",
        "28, /commands, true",
        "6, /multi, true",
        "28, /multi, false",
        "12, /holds, true",
        "28, /holds, false"
    })
    void aPausedLeaderDoesNoHarm(double pauseS, String pausePoint, boolean cancelled) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 12;
        submitJobs(cluster, 1, 6);
        cluster.runFor(10);
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        oldLeader.pauseDurationS = pauseS;
        if (pausePoint.equals("any")) {
            oldLeader.pause(pauseS);
        } else {
            oldLeader.pauseBeforePath = pausePoint;
        }
        List<SimulatedCluster.ControllerProcess> followers = cluster.controllers.stream()
                .filter(controller -> controller != oldLeader)
                .toList();
        for (int i = 20; i < 24; i++) {
            assertEquals(201, followers.get(0).submit(id(i), 5, i % 2 == 0).get("code"));
        }
        assertTrue(cluster.runUntil(8, () -> oldLeader.pausedUntilS > 0));
        cluster.runFor(1);
        SimulatedCluster.ControllerProcess secondFollower = followers.get(1);
        if (cancelled) {
            for (int i = 20; i < 22; i++) {
                assertEquals("withdrawn", secondFollower.cancel(id(i)).get("status"));
            }
        }
        cluster.runFor(Math.max(0, oldLeader.pausedUntilS - cluster.nowS - 0.001));
        // The first messages that it reads after the pause are the reports that waited in its sockets.
        if (pauseS > 4) {
            cluster.nowS = oldLeader.pausedUntilS;
            for (SimulatedWorker worker : cluster.workers.values()) {
                assertFalse(
                        oldLeader.controller.handleReport(worker.createReport())
                                instanceof Controller.ReportResponse.Commands,
                        "no commands are sent from outdated state");
            }
        }
        cluster.runFor(40);
        for (int i = 20; i < 22; i++) {
            if (cancelled) {
                assertEquals("withdrawn", cluster.pollStatus(id(i), ANSWER_TIMEOUT_S));
            }
        }
        assertAllDone(cluster, 1, 6, 200);
        assertAllDone(cluster, cancelled ? 22 : 20, cancelled ? 2 : 4, 200);
    }

    /** A leader that no worker can reach any more resigns in time for the next leader to renew the worker leases. */
    @ParameterizedTest(name = "{0} controllers")
    @ValueSource(ints = {3, 7})
    void aLeaderCutFromItsWorkersResignsInTime(int controllers) {
        SimulatedCluster cluster = new SimulatedCluster(controllers, List.of(new Team("t", 0, 0, 0, 0, 1)), 22);
        cluster.taskDurationS = 80;
        cluster.submitUntilAccepted(id(1), 16, false);
        assertTrue(cluster.runUntil(
                60,
                () -> cluster.workers.values().stream()
                                .mapToInt(worker -> worker.startCount)
                                .sum()
                        == 16));
        cluster.runFor(15);
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        oldLeader.cutFromWorkers = true;
        cluster.schedule(37, () -> oldLeader.cutFromWorkers = false);
        assertTrue(
                cluster.runUntil(14, () -> cluster.leader() != null && cluster.leader() != oldLeader),
                "another controller leads");
        assertAllDone(cluster, 1, 1, 120);
        assertEquals(
                16,
                cluster.workers.values().stream()
                        .mapToInt(worker -> worker.startCount)
                        .sum(),
                "no task was started again");
    }

    /** A leader keeps its term when its machines are cut off from all controllers, as no other leader would reach them. */
    @Test
    void aLeaderKeepsItsTermWhenAllMachinesAreDisconnected() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 30;
        cluster.submitUntilAccepted(id(1), 16, false);
        cluster.runFor(25);
        long token = cluster.leader().token();
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.disconnected = true;
            cluster.schedule(20, () -> worker.disconnected = false);
        }
        cluster.runFor(40);
        assertEquals(token, cluster.leader().token());
        assertAllDone(cluster, 1, 1, 120);
    }

    /** The next leader keeps the idle machines that it finds and rents no others in their place. */
    @ParameterizedTest(name = "the old leader restarts within {0} s")
    @ValueSource(doubles = {0.2, 8})
    void aNewLeaderKeepsIdleMachines(double downtimeS) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 25;
        cluster.submitUntilAccepted(id(1), 40, false, Map.of("dueS", 35.0));
        assertTrue(cluster.runUntil(60, () -> cluster.pollStatus(id(1), 5).equals("done")));
        cluster.taskDurationS = 6;
        int rentedBefore = cluster.machinesRented;
        List<String> machinesBefore = List.copyOf(cluster.workers.keySet());
        assertTrue(machinesBefore.size() >= 5, "idle machines remain");
        cluster.leader().stateLink = FakeStateService.Link.PARTITIONED; // so that the job is left to the next leader
        cluster.controllers.stream()
                .filter(controller -> controller != cluster.leader())
                .findFirst()
                .orElseThrow()
                .submit(id(3), 4 * machinesBefore.size(), false, Map.of("dueS", 20.0));
        cluster.leader().stateLink = FakeStateService.Link.HEALTHY;
        cluster.leader().restartAfter(downtimeS);
        cluster.runFor(8);
        assertEquals(machinesBefore, List.copyOf(cluster.workers.keySet()));
        assertAllDone(cluster, 3, 1, 60);
        assertEquals(rentedBefore, cluster.machinesRented, "no machine was rented");
    }

    /**
     * A leader that is paused during an outage of the state service still leads afterwards; it must not take its own pause
     * for silence of the machines and give them up.
     */
    @Test
    void aLeaderPausedDuringAnOutageGivesUpNoMachine() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 60;
        cluster.submitUntilAccepted(id(1), 12, false);
        assertTrue(cluster.runUntil(60, () -> cluster.pollStatus(id(1), 5).equals("running")));
        cluster.runFor(5);
        SimulatedCluster.ControllerProcess pausedLeader = cluster.leader();
        long token = pausedLeader.token();
        List<String> machinesBefore = List.copyOf(cluster.workers.keySet());
        cluster.stateService.outage = true;
        cluster.runFor(1);
        pausedLeader.pause(28);
        cluster.runFor(27);
        cluster.stateService.recover();
        cluster.runFor(8);
        assertEquals(token, cluster.leader().token());
        assertEquals(machinesBefore, List.copyOf(cluster.workers.keySet()));
        assertAllDone(cluster, 1, 1, 200);
    }

    /** Machines, idle ones too, that are cut off while the leader changes are kept and not replaced by rented ones. */
    @Test
    void machinesCutOffDuringAnElectionAreNotRentedAgain() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 25;
        cluster.submitUntilAccepted(id(1), 40, false, Map.of("dueS", 35.0));
        assertTrue(cluster.runUntil(60, () -> cluster.pollStatus(id(1), 5).equals("done")));
        int rentedBefore = cluster.machinesRented;
        List<String> machinesBefore = List.copyOf(cluster.workers.keySet());
        assertTrue(machinesBefore.size() >= 5, "idle machines remain");
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.disconnected = true;
            cluster.schedule(60, () -> worker.disconnected = false);
        }
        cluster.leader().restartAfter(3);
        cluster.submitUntilAccepted(id(2), 20, false);
        cluster.runFor(65);
        assertEquals(machinesBefore, List.copyOf(cluster.workers.keySet()));
        assertAllDone(cluster, 2, 1, 90);
        assertEquals(rentedBefore, cluster.machinesRented, "no machine was rented");
    }

    /**
     * Machines hang and continue: within the worker lease their tasks go on, after it the worker ends them and begins a new
     * session.
     */
    @ParameterizedTest(name = "for {0} s, gang {1}, new leader {2}")
    @CsvSource({
        "5, false, false",
        "5, true, false",
        "8, false, true",
        "14, false, false",
        "14, true, false",
        "14, false, true",
        "30, true, true"
    })
    void machinesThatHangRunNothingTwice(double hangS, boolean gang, boolean newLeader) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 25;
        cluster.submitUntilAccepted(id(1), 12, gang);
        assertTrue(cluster.runUntil(
                60,
                () -> cluster.workers.values().stream()
                                .mapToInt(worker -> worker.startCount)
                                .sum()
                        == 12));
        cluster.runFor(3);
        List<SimulatedWorker> hungWorkers = new ArrayList<>(cluster.workers.values());
        for (SimulatedWorker worker : hungWorkers) {
            worker.hungUntilS = cluster.nowS + hangS;
        }
        cluster.runFor(1);
        if (newLeader) {
            cluster.leader().restartAfter(0.3);
        }
        assertAllDone(cluster, 1, 1, 200);
        int starts = cluster.workers.values().stream()
                .mapToInt(worker -> worker.startCount)
                .sum();
        if (hangS < cluster.workerLeaseS - 2.5 && !newLeader) {
            assertEquals(12, starts, "no task was started again");
        }
        cluster.runFor(60);
        assertEquals(List.of(), cluster.violations());
    }

    /**
     * Many machines crash or are cut off at the same moment: gangs are placed again as a whole, and machines are rented only
     * for pending tasks.
     */
    @ParameterizedTest(name = "{0} of 20 machines crash, {1} are cut off for {2} s")
    @CsvSource({"10, 0, 0", "0, 12, 15", "6, 8, 30", "19, 0, 0", "0, 20, 12"})
    void manyMachinesLostTogether(int crashCount, int disconnectCount, double disconnectS) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.capacity = 60;
        cluster.taskDurationS = 25;
        for (int i = 1; i <= 4; i++) {
            cluster.submitUntilAccepted(id(i), 8, true);
        }
        cluster.submitUntilAccepted(id(5), 48, false);
        assertTrue(cluster.runUntil(
                60,
                () -> cluster.workers.values().stream()
                                .mapToInt(worker -> worker.startCount)
                                .sum()
                        >= 80));
        int machinesBefore = cluster.workers.size();
        int index = 0;
        for (SimulatedWorker worker : new ArrayList<>(cluster.workers.values())) {
            if (index < crashCount) {
                worker.crash();
            } else if (index < crashCount + disconnectCount) {
                worker.disconnected = true;
                cluster.schedule(disconnectS, () -> worker.disconnected = false);
            }
            index++;
        }
        assertAllDone(cluster, 1, 5, 240);
        assertTrue(
                cluster.machinesRented <= machinesBefore + crashCount + disconnectCount + 4,
                "machines rented in all " + cluster.machinesRented + ", before the loss " + machinesBefore);
    }

    /**
     * A machine that fails every task or runs tasks slowly is quarantined and returned; a job that fails on every machine
     * causes no quarantine.
     */
    @ParameterizedTest(name = "machine fails its tasks {0}, slowdown {1}, failing job {2}")
    @CsvSource({"true, 1, false", "false, 3, false", "false, 1, true", "true, 3, true"})
    void faultyMachinesAreDetectedFromOutcomes(boolean failing, double slowdown, boolean withFailingJob) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.capacity = 6;
        cluster.taskDurationS = 5;
        cluster.submitUntilAccepted(id(1), 800, false);
        assertTrue(cluster.runUntil(60, () -> cluster.workers.size() == 6));
        cluster.runFor(8);
        SimulatedWorker faultyWorker = cluster.workers.values().iterator().next();
        List<String> healthyMachines = cluster.workers.keySet().stream()
                .filter(name -> !name.equals(faultyWorker.name))
                .toList();
        faultyWorker.failsAllTasks = failing;
        faultyWorker.slowdownFactor = slowdown;
        if (withFailingJob) {
            cluster.failingJobs.add(id(2));
            cluster.submitUntilAccepted(id(2), 30, false);
        }
        cluster.runFor(95);
        assertEquals(!failing && slowdown == 1, cluster.workers.containsKey(faultyWorker.name));
        assertTrue(cluster.workers.keySet().containsAll(healthyMachines));
        assertAllDone(cluster, 1, 1, 400);
    }

    /**
     * A new leader does not know when the running tasks were started; it must not take their machines for slow when the
     * tasks end.
     */
    @Test
    void aNewLeaderQuarantinesNoMachineAsSlow() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.capacity = 12;
        cluster.taskDurationS = 12;
        cluster.submitUntilAccepted(id(1), 600, false, Map.of("dueS", 60.0));
        assertTrue(cluster.runUntil(60, () -> cluster.workers.size() == 12));
        List<String> machinesBefore = List.copyOf(cluster.workers.keySet());
        assertTrue(cluster.runUntil(
                30,
                () -> cluster.workers.values().stream()
                                .mapToInt(worker -> worker.startCount)
                                .sum()
                        >= 48));
        cluster.runFor(7);
        cluster.leader().restartAfter(0.5);
        cluster.runFor(100);
        assertTrue(cluster.workers.keySet().containsAll(machinesBefore), "all machines are kept");
        assertAllDone(cluster, 1, 1, 400);
    }

    @Test
    void tokensGrowStrictlyFromTermToTerm() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.submitUntilAccepted(id(1), 2, false);
        assertTrue(cluster.runUntil(60, () -> cluster.pollStatus(id(1), 5).equals("running")));
        long tokenBefore = cluster.leader().token();
        cluster.leader().restartAfter(0.2);
        cluster.runFor(10);
        assertTrue(cluster.leader().token() > tokenBefore, "a later term has a higher token");
        assertFalse(cluster.workers.values().stream().anyMatch(worker -> worker.token < tokenBefore));
    }
}
