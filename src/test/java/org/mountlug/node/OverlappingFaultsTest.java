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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.core.model.Team;

/**
 * Two faults that overlap at several offsets; {@code docs/faults.md} has a row for each. The simulated cluster checks its
 * rules, that no response is older than an earlier one, and that all accepted jobs go on after the last fault. Each case
 * also asserts that its faults met.
 */
class OverlappingFaultsTest {
    /** The leader restarts ten times in two minutes, also during outages of the state service, while jobs are cancelled. */
    @ParameterizedTest(name = "outage {0}, {1}")
    @CsvSource({"false, array", "true, array", "true, gang", "false, service"})
    void tenLeaderChangesInTwoMinutes(boolean outage, String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(5);
        cluster.taskDurationS = 150;
        for (int i = 1; i <= 6; i++) {
            submit(cluster, i, jobType, 4);
        }
        assertTrue(runUntilStarted(cluster, 24));
        int[] terms = new int[1];
        cluster.onTermStart.add(controller -> terms[0]++);
        for (int change = 0; change < 10; change++) {
            cluster.schedule(12 * change + 1, () -> {
                if (cluster.leader() != null) {
                    cluster.leader().restartAfter(0.4);
                }
            });
        }
        for (int i = 1; i <= 3; i++) {
            String id = jobId(i);
            for (int retry = 0; retry < 20; retry++) {
                cluster.schedule(20 * i + retry, () -> {
                    SimulatedCluster.ControllerProcess controller = cluster.controllers.get(2);
                    if (!cluster.cancelAcknowledgedAtS.containsKey(id)) {
                        controller.requestAsync("cancellation", id, reply -> controller.users.cancel(id, reply), null);
                    }
                });
            }
        }
        if (outage) {
            for (double outageStartS : new double[] {18, 66}) {
                cluster.schedule(outageStartS, () -> cluster.stateService.outage = true);
                cluster.schedule(outageStartS + 16, () -> cluster.stateService.recover());
            }
        }
        cluster.runFor(125);
        assertTrue(terms[0] >= (outage ? 7 : 9), () -> terms[0] + " terms began");
        cluster.taskDurationS = 5;
        assertSettles(cluster, 250);
    }

    /** A zone with machines and a controller, possibly the leader, is cut off for longer than a worker lease. */
    @ParameterizedTest(name = "leader in the zone {0}, cancelled {2} s into the isolation, {1} s before its end, {3}")
    @CsvSource({
        "true, 14, 1, array",
        "true, 40, 0.1, gang",
        "true, 40, 5, array",
        "false, 14, 1, array",
        "false, 40, 12, gang",
        "true, 60, 3, service",
        "false, 9, 1, service"
    })
    void aZoneWithAControllerIsIsolated(
            boolean leaderInside, double isolatedAfterCancelS, double cancelAfterS, String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.zones = List.of("a", "b");
        cluster.taskDurationS = 100;
        for (int i = 1; i <= 4; i++) {
            submit(cluster, i, jobType, 4);
        }
        cluster.submitUntilAccepted(jobId(5), 6, false, Map.of("site", "a"));
        cluster.submitUntilAccepted(jobId(6), 6, false, Map.of("site", "b", "oneZone", true));
        assertTrue(runUntilStarted(cluster, 28));
        cluster.runFor(3);
        SimulatedCluster.ControllerProcess isolatedController =
                leaderInside ? cluster.leader() : otherController(cluster, cluster.leader());
        isolatedController.inIsolatedZone = true;
        assertTrue(cluster.workers.values().stream().anyMatch(worker -> worker.zone.equals("a")));
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.inIsolatedZone = worker.zone.equals("a");
        }
        SimulatedCluster.ControllerProcess outsideController = otherController(cluster, isolatedController);
        cluster.runFor(cancelAfterS);
        for (int i : new int[] {1, 5}) {
            cluster.runUntil(
                    12,
                    () -> "withdrawn"
                            .equals(String.valueOf(
                                    outsideController.cancel(jobId(i)).get("status"))));
            assertTrue(cluster.cancelAcknowledgedAtS.containsKey(jobId(i)));
        }
        cluster.runFor(isolatedAfterCancelS);
        isolatedController.inIsolatedZone = false;
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.inIsolatedZone = false;
        }
        cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S);
        cluster.taskDurationS = 5;
        for (int i : new int[] {2, 3, 4}) {
            if (jobType.equals("service")) {
                outsideController.cancel(jobId(i));
            }
        }
        assertSettles(cluster, 200);
    }

    /**
     * Jobs that are bound to one zone, arrays among them, lose machines while the zones may be full and the leader may
     * restart: their tasks run again in the same zone.
     */
    @ParameterizedTest(name = "{0} bound by {1}, machines {2}, leader restarts {3}, zones full {4}")
    @CsvSource({
        "array, one zone, crash, false, false",
        "array, one zone, disconnected, true, true",
        "gang, one zone, crash, true, true",
        "service, one zone, disconnected, false, true",
        "array, site, crash, true, true",
        "gang, site, disconnected, false, false",
        "service, site, hang, true, true",
        "array, one zone, crash, true, true",
        "array, one zone, hang, false, true"
    })
    void jobsBoundToOneZoneLoseMachines(
            String jobType, String boundBy, String fault, boolean leaderRestarts, boolean zonesFull) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.zones = List.of("a", "b");
        cluster.taskDurationS = 80;
        Map<String, Object> extraFields =
                new HashMap<>(boundBy.equals("site") ? Map.of("site", "a") : Map.of("oneZone", true));
        if (jobType.equals("service")) {
            extraFields.put("shape", "daemon");
        }
        for (int i = 1; i <= 4; i++) {
            cluster.submitUntilAccepted(jobId(i), 8, jobType.equals("gang"), extraFields);
        }
        assertTrue(
                cluster.runUntil(
                        60,
                        () -> activeTaskCount(cluster, jobId(1))
                                        + activeTaskCount(cluster, jobId(2))
                                        + activeTaskCount(cluster, jobId(3))
                                        + activeTaskCount(cluster, jobId(4))
                                == 32),
                "all tasks run");
        if (zonesFull) {
            for (String zone : List.of("a", "b")) {
                cluster.cloud.zoneCapacity.put(zone, (int) cluster.workers.values().stream()
                        .filter(worker -> worker.zone.equals(zone))
                        .count());
            }
        }
        int i = 0;
        for (SimulatedWorker worker : new ArrayList<>(cluster.workers.values())) {
            if (i++ % 3 == 0) {
                continue;
            }
            if (fault.equals("crash")) {
                worker.crash();
            } else if (fault.equals("disconnected")) {
                worker.disconnected = true;
                cluster.schedule(24, () -> worker.disconnected = false);
            } else {
                worker.hungUntilS = cluster.nowS + 9.2;
            }
        }
        if (leaderRestarts) {
            cluster.leader().restartAfter(0.4);
        }
        cluster.runFor(26);
        cluster.taskDurationS = 5;
        if (jobType.equals("service")) {
            cluster.runFor(60);
            for (int j = 1; j <= 4; j++) {
                assertEquals(8, activeTaskCount(cluster, jobId(j)), "all replicas run again");
            }
            for (int j = 1; j <= 4; j++) {
                cluster.controllers.get(0).cancel(jobId(j));
            }
        }
        assertSettles(cluster, 250);
    }

    /**
     * A job bound to one zone loses machines while only the other zone has free capacity: it waits for capacity in its own
     * zone.
     */
    @ParameterizedTest(name = "{0}, leader restarts {1}")
    @CsvSource({"array, false", "array, true", "service, false", "service, true"})
    void zoneBoundJobsIgnoreCapacityInOtherZones(String jobType, boolean leaderRestarts) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.zones = List.of("a", "b");
        cluster.taskDurationS = 120;
        Map<String, Object> extraFields = new HashMap<>(Map.of("oneZone", true));
        if (jobType.equals("service")) {
            extraFields.put("shape", "daemon");
        }
        cluster.submitUntilAccepted(jobId(1), 8, false, extraFields);
        assertTrue(cluster.runUntil(60, () -> activeTaskCount(cluster, jobId(1)) == 8));
        String zone = cluster.workers.values().stream()
                .filter(worker -> !worker.activeTasks().isEmpty())
                .findFirst()
                .orElseThrow()
                .zone;
        String otherZone = zone.equals("a") ? "b" : "a";
        cluster.cloud.zoneCapacity.put(zone, 0);
        cluster.addMachine(otherZone);
        cluster.addMachine(otherZone);
        cluster.runFor(6);
        List<SimulatedWorker> zoneWorkers = cluster.workers.values().stream()
                .filter(worker -> worker.zone.equals(zone))
                .sorted(java.util.Comparator.comparingInt(
                        worker -> worker.activeTasks().size()))
                .toList();
        for (SimulatedWorker worker : zoneWorkers.subList(0, zoneWorkers.size() - 1)) {
            worker.crash();
        }
        if (leaderRestarts) {
            cluster.leader().restartAfter(0.4);
        }
        cluster.runFor(14);
        assertTrue(activeTaskCount(cluster, jobId(1)) <= 4, "free capacity in the other zone is not used");
        cluster.cloud.zoneCapacity.clear();
        cluster.runFor(60);
        if (jobType.equals("service")) {
            assertEquals(8, activeTaskCount(cluster, jobId(1)));
            cluster.controllers.get(0).cancel(jobId(1));
        }
        cluster.taskDurationS = 5;
        assertSettles(cluster, 200);
    }

    /** Workers cannot send reports but receive direct commands, while the leader may restart and a job may be cancelled. */
    @ParameterizedTest(name = "for {0} s, leader restarts {1}, cancelled {2}, {3}")
    @CsvSource({
        "6, false, true, array",
        "14, false, true, gang",
        "14, true, false, array",
        "30, true, true, gang",
        "30, false, false, service",
        "8, true, true, service"
    })
    void workersThatCannotReportButReceiveCommands(
            double blockedS, boolean leaderRestarts, boolean cancelled, String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 60;
        submit(cluster, 1, jobType, 8);
        submit(cluster, 2, jobType, 4);
        assertTrue(runUntilStarted(cluster, 12));
        cluster.runFor(2);
        List<SimulatedWorker> workers = new ArrayList<>(cluster.workers.values());
        for (SimulatedWorker worker : workers) {
            worker.reportsBlocked = true;
            cluster.schedule(blockedS, () -> worker.reportsBlocked = false);
        }
        cluster.runFor(0.5);
        if (cancelled) {
            assertEquals(
                    "withdrawn", cluster.controllers.get(0).cancel(jobId(1)).get("status"));
        }
        if (leaderRestarts) {
            cluster.leader().restartAfter(0.3);
        }
        submit(cluster, 3, jobType, 4); // the starts may be sent as direct commands
        cluster.runFor(blockedS + 10);
        if (jobType.equals("service")) {
            for (int i = 1; i <= 3; i++) {
                cluster.controllers.get(0).cancel(jobId(i));
            }
        }
        assertSettles(cluster, 200);
    }

    /** All controllers are down for longer than a worker lease, and a job is cancelled just before or just after. */
    @ParameterizedTest(name = "for {0} s, cancelled before {1}, {2}")
    @CsvSource({"12, true, array", "12, false, gang", "25, true, gang", "25, false, array", "12, true, service"})
    void allControllersDownForLongerThanALease(double downtimeS, boolean cancelledBefore, String jobType) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 100;
        for (int i = 1; i <= 3; i++) {
            submit(cluster, i, jobType, 4);
        }
        assertTrue(runUntilStarted(cluster, 12));
        cluster.runFor(3);
        if (cancelledBefore) {
            assertEquals(
                    "withdrawn", cluster.controllers.get(1).cancel(jobId(1)).get("status"));
        }
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            controller.restartAfter(downtimeS);
        }
        cluster.runFor(downtimeS + 0.1);
        if (!cancelledBefore) {
            assertTrue(cluster.runUntil(
                    20,
                    () -> "withdrawn"
                            .equals(String.valueOf(
                                    cluster.controllers.get(1).cancel(jobId(1)).get("status")))));
        }
        cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 1);
        assertEquals(0, activeTaskCount(cluster, jobId(1)));
        cluster.taskDurationS = 5;
        assertSettles(cluster, 200);
    }

    /**
     * More work than the machines hold, over slow links, while the leader may restart: services of priority prod displace
     * jobs of priority idle.
     */
    @ParameterizedTest(name = "commands delayed by {0} s, leader restarts {1}")
    @CsvSource({"0.3, false", "0.8, true", "1.2, false"})
    void moreWorkThanCapacityOverSlowLinks(double delayS, boolean leaderRestarts) {
        SimulatedCluster cluster =
                new SimulatedCluster(3, List.of(new Team("t", 0, 0, 0, 0, 1), new Team("u", 8, 0, 0, 0, 1)));
        cluster.cloud.capacity = 4;
        cluster.taskDurationS = 45;
        cluster.commandNetwork.delayS = delayS;
        cluster.stateService.extraLatencyS = delayS / 4;
        for (int i = 1; i <= 4; i++) {
            cluster.submitUntilAccepted(jobId(i), 10, false, Map.of("urgency", "idle"));
        }
        cluster.runFor(8);
        for (int i = 11; i <= 14; i++) {
            Map<String, Object> extraFields =
                    new HashMap<>(Map.of("urgency", i % 2 == 0 ? "prod" : "high", "crew", "u"));
            if (i % 2 == 0) {
                extraFields.put("shape", "daemon");
            }
            cluster.submitUntilAccepted(jobId(i), 6, false, extraFields);
        }
        cluster.runFor(4);
        if (leaderRestarts) {
            cluster.leader().restartAfter(2);
        }
        cluster.runFor(20);
        for (int i = 12; i <= 14; i += 2) {
            assertEquals(
                    6,
                    activeTaskCount(cluster, jobId(i)),
                    "services of priority prod have displaced jobs of priority idle");
        }
        cluster.commandNetwork.delayS = 0;
        cluster.stateService.extraLatencyS = 0;
        cluster.taskDurationS = 6;
        for (int i = 12; i <= 14; i += 2) {
            cluster.controllers.get(0).cancel(jobId(i));
        }
        assertSettles(cluster, 250);
    }

    /**
     * Invalid requests get the same status codes during a fault as without one, 503 or no response, and nothing of them is
     * stored; what was accepted stays accepted.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"new leader", "leader refused", "outage", "lost responses", "delayed writes"})
    void invalidRequestsDuringFaults(String fault) {
        SimulatedCluster cluster = new SimulatedCluster(3, List.of(new Team("t", 0, 40, 0, 0, 1)));
        cluster.taskDurationS = 3;
        cluster.submitUntilAccepted(jobId(1), 3, false);
        assertTrue(cluster.runUntil(60, () -> "done".equals(cluster.pollStatus(jobId(1), 5))));
        cluster.taskDurationS = 60;
        cluster.submitUntilAccepted(jobId(2), 3, false);
        cluster.runFor(2);
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        switch (fault) {
            case "new leader" -> leader.restartAfter(0.3);
            case "leader refused" -> leader.stateLink = FakeStateService.Link.REFUSED;
            case "outage" -> cluster.stateService.outage = true;
            case "lost responses" ->
                cluster.controllers.forEach(controller -> controller.stateLink = FakeStateService.Link.RESPONSES_LOST);
            default ->
                cluster.controllers.forEach(controller -> controller.stateLink = FakeStateService.Link.WRITES_DELAYED);
        }
        for (int round = 0; round < 5; round++) {
            for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
                Map<String, Object> missingField = new HashMap<>();
                missingField.put("urgency", null);
                assertCodeIn(controller.submit(jobId(10), 3, false, missingField), 400, 503);
                assertCodeIn(controller.submit(jobId(11), 3, false, Map.of("vcpus", 5.0)), 422, 503);
                assertCodeIn(controller.submit(jobId(12), 41, true), 422, 503);
                assertCodeIn(controller.submit(jobId(13), 3, false, Map.of("crew", "nobody")), 422, 503);
                assertCodeIn(controller.submit(jobId(2), 3, false, Map.of("vcpus", -1.0)), 200, 503);
                assertCodeIn(controller.submit(jobId(2), 3, false, missingField), 200, 503);
                assertCodeIn(controller.poll(jobId(14)), 404, 503);
                assertCodeIn(controller.cancel(jobId(14)), 404, 503);
                Map<String, Object> response = controller.cancel(jobId(1));
                if (response != null && (int) response.get("code") == 200) {
                    assertEquals("done", response.get("status"));
                }
            }
            cluster.runFor(0.7);
        }
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            controller.stateLink = FakeStateService.Link.HEALTHY;
        }
        cluster.stateService.recover();
        cluster.runFor(5);
        for (int i = 10; i <= 14; i++) {
            assertEquals(null, cluster.stateService.value("j/" + jobId(i)));
            assertEquals(null, cluster.stateService.value("f/" + jobId(i)));
        }
        cluster.taskDurationS = 5;
        assertSettles(cluster, 100);
    }

    private static void assertCodeIn(Map<String, Object> response, int... expectedCodes) {
        if (response == null) {
            return; // the controller is down or did not respond in time
        }
        for (int code : expectedCodes) {
            if ((int) response.get("code") == code) {
                return;
            }
        }
        assertEquals(expectedCodes[0], response.get("code"));
    }
}
