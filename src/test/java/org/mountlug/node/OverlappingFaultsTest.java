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
 * Two troubles that overlap, at several offsets; {@code docs/faults.md} has a row for each. The world checks the rules,
 * that no answer is older than one sent before, and after the last fault that everything accepted goes on; a case also
 * asserts that its meeting took place.
 */
class OverlappingFaultsTest {
    /** The leader changes ten times in two minutes, also inside an outage, with jobs cancelled between. */
    @ParameterizedTest(name = "outage {0}, {1}")
    @CsvSource({"false, array", "true, array", "true, gang", "false, service"})
    void tenLeadersInTwoMinutes(boolean outage, String shape) {
        SimulatedCluster w = new SimulatedCluster(5);
        w.taskDurationS = 150;
        for (int i = 1; i <= 6; i++) {
            submit(w, i, shape, 4);
        }
        assertTrue(runUntilStarted(w, 24));
        int[] terms = new int[1];
        w.onTermStart.add(n -> terms[0]++);
        for (int k = 0; k < 10; k++) {
            w.schedule(12 * k + 1, () -> {
                if (w.leader() != null) {
                    w.leader().restartAfter(0.4);
                }
            });
        }
        for (int i = 1; i <= 3; i++) {
            String id = jobId(i);
            for (int q = 0; q < 20; q++) {
                w.schedule(20 * i + q, () -> {
                    SimulatedCluster.ControllerProcess n = w.controllers.get(2);
                    if (!w.cancelAcknowledgedAtS.containsKey(id)) {
                        n.askAsync("abort", id, r -> n.users.cancel(id, r), null);
                    }
                });
            }
        }
        if (outage) {
            for (double t : new double[] {18, 66}) {
                w.schedule(t, () -> w.stateService.outage = true);
                w.schedule(t + 16, () -> w.stateService.recover());
            }
        }
        w.runFor(125);
        assertTrue(terms[0] >= (outage ? 7 : 9), () -> terms[0] + " terms");
        w.taskDurationS = 5;
        assertSettles(w, 250);
    }

    /** A zone with machines and a controller, perhaps the leader, is cut off for longer than a lease. */
    @ParameterizedTest(name = "the leader inside {0}, for {1} s, cancelled {2} s in, {3}")
    @CsvSource({
        "true, 14, 1, array",
        "true, 40, 0.1, gang",
        "true, 40, 5, array",
        "false, 14, 1, array",
        "false, 40, 12, gang",
        "true, 60, 3, service",
        "false, 9, 1, service"
    })
    void aZoneWithAControllerIsCutOff(boolean leaderInside, double forS, double cancelS, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.zones = List.of("a", "b");
        w.taskDurationS = 100;
        for (int i = 1; i <= 4; i++) {
            submit(w, i, shape, 4);
        }
        w.submitUntilAccepted(jobId(5), 6, false, Map.of("site", "a"));
        w.submitUntilAccepted(jobId(6), 6, false, Map.of("site", "b", "oneZone", true));
        assertTrue(runUntilStarted(w, 28));
        w.runFor(3);
        SimulatedCluster.ControllerProcess in = leaderInside ? w.leader() : otherController(w, w.leader());
        in.inIsolatedZone = true;
        assertTrue(w.workers.values().stream().anyMatch(k -> k.zone.equals("a")));
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.inIsolatedZone = k.zone.equals("a");
        }
        SimulatedCluster.ControllerProcess outside = otherController(w, in);
        w.runFor(cancelS);
        for (int i : new int[] {1, 5}) {
            w.runUntil(
                    12,
                    () -> "withdrawn"
                            .equals(String.valueOf(outside.cancel(jobId(i)).get("status"))));
            assertTrue(w.cancelAcknowledgedAtS.containsKey(jobId(i)));
        }
        w.runFor(forS);
        in.inIsolatedZone = false;
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.inIsolatedZone = false;
        }
        w.runFor(SimulatedCluster.CANCEL_DEADLINE_S);
        w.taskDurationS = 5;
        for (int i : new int[] {2, 3, 4}) {
            if (shape.equals("service")) {
                outside.cancel(jobId(i));
            }
        }
        assertSettles(w, 200);
    }

    /** Jobs bound to one zone, arrays too, lose machines, their zone fills up, and the leader changes. */
    @ParameterizedTest(name = "{0} bound by {1}, machines {2}, the leader ends {3}, the zone full {4}")
    @CsvSource({
        "array, one zone, die, false, false",
        "array, one zone, cut, true, true",
        "gang, one zone, die, true, true",
        "service, one zone, cut, false, true",
        "array, site, die, true, true",
        "gang, site, cut, false, false",
        "service, site, hang, true, true",
        "array, one zone, die, true, true",
        "array, one zone, hang, false, true"
    })
    void jobsBoundToOneZoneLoseMachines(String shape, String by, String how, boolean ends, boolean full) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.zones = List.of("a", "b");
        w.taskDurationS = 80;
        Map<String, Object> more = new HashMap<>(by.equals("site") ? Map.of("site", "a") : Map.of("oneZone", true));
        if (shape.equals("service")) {
            more.put("shape", "daemon");
        }
        for (int i = 1; i <= 4; i++) {
            w.submitUntilAccepted(jobId(i), 8, shape.equals("gang"), more);
        }
        assertTrue(
                w.runUntil(
                        60,
                        () -> activeTaskCount(w, jobId(1))
                                        + activeTaskCount(w, jobId(2))
                                        + activeTaskCount(w, jobId(3))
                                        + activeTaskCount(w, jobId(4))
                                == 32),
                "all run");
        if (full) {
            for (String z : List.of("a", "b")) {
                w.cloud.zoneCapacity.put(z, (int) w.workers.values().stream()
                        .filter(k -> k.zone.equals(z))
                        .count());
            }
        }
        int i = 0;
        for (SimulatedCluster.Worker k : new ArrayList<>(w.workers.values())) {
            if (i++ % 3 == 0) {
                continue;
            }
            if (how.equals("die")) {
                k.crash();
            } else if (how.equals("cut")) {
                k.disconnected = true;
                w.schedule(24, () -> k.disconnected = false);
            } else {
                k.hungUntilS = w.nowS + 9.2;
            }
        }
        if (ends) {
            w.leader().restartAfter(0.4);
        }
        w.runFor(26);
        w.taskDurationS = 5;
        if (shape.equals("service")) {
            w.runFor(60);
            for (int j = 1; j <= 4; j++) {
                assertEquals(8, activeTaskCount(w, jobId(j)), "all replicas run again");
            }
            for (int j = 1; j <= 4; j++) {
                w.controllers.get(0).cancel(jobId(j));
            }
        }
        assertSettles(w, 250);
    }

    /** A job bound to one zone loses machines while only the other zone has room: it waits for its own. */
    @ParameterizedTest(name = "{0}, the leader ends {1}")
    @CsvSource({"array, false", "array, true", "service, false", "service, true"})
    void whatIsBoundToAZoneDoesNotGoWhereThereIsRoom(String shape, boolean ends) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.zones = List.of("a", "b");
        w.taskDurationS = 120;
        Map<String, Object> more = new HashMap<>(Map.of("oneZone", true));
        if (shape.equals("service")) {
            more.put("shape", "daemon");
        }
        w.submitUntilAccepted(jobId(1), 8, false, more);
        assertTrue(w.runUntil(60, () -> activeTaskCount(w, jobId(1)) == 8));
        String zone = w.workers.values().stream()
                .filter(k -> !k.activeTasks().isEmpty())
                .findFirst()
                .orElseThrow()
                .zone;
        String elsewhere = zone.equals("a") ? "b" : "a";
        w.cloud.zoneCapacity.put(zone, 0);
        w.addMachine(elsewhere);
        w.addMachine(elsewhere);
        w.runFor(6);
        List<SimulatedCluster.Worker> there = w.workers.values().stream()
                .filter(k -> k.zone.equals(zone))
                .sorted(java.util.Comparator.comparingInt(k -> k.activeTasks().size()))
                .toList();
        for (SimulatedCluster.Worker k : there.subList(0, there.size() - 1)) {
            k.crash();
        }
        if (ends) {
            w.leader().restartAfter(0.4);
        }
        w.runFor(14);
        assertTrue(activeTaskCount(w, jobId(1)) <= 4, "room elsewhere is none for it");
        w.cloud.zoneCapacity.clear();
        w.runFor(60);
        if (shape.equals("service")) {
            assertEquals(8, activeTaskCount(w, jobId(1)));
            w.controllers.get(0).cancel(jobId(1));
        }
        w.taskDurationS = 5;
        assertSettles(w, 200);
    }

    /** Workers that reach nobody while orders directly to them arrive, and the leader changes or jobs are cancelled. */
    @ParameterizedTest(name = "for {0} s, the leader ends {1}, cancelled {2}, {3}")
    @CsvSource({
        "6, false, true, array",
        "14, false, true, gang",
        "14, true, false, array",
        "30, true, true, gang",
        "30, false, false, service",
        "8, true, true, service"
    })
    void workersThatReachNobodyButHearOrders(double forS, boolean ends, boolean cancelled, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 60;
        submit(w, 1, shape, 8);
        submit(w, 2, shape, 4);
        assertTrue(runUntilStarted(w, 12));
        w.runFor(2);
        List<SimulatedCluster.Worker> mute = new ArrayList<>(w.workers.values());
        for (SimulatedCluster.Worker k : mute) {
            k.reportsBlocked = true;
            w.schedule(forS, () -> k.reportsBlocked = false);
        }
        w.runFor(0.5);
        if (cancelled) {
            assertEquals("withdrawn", w.controllers.get(0).cancel(jobId(1)).get("status"));
        }
        if (ends) {
            w.leader().restartAfter(0.3);
        }
        submit(w, 3, shape, 4); // starts may go directly to them
        w.runFor(forS + 10);
        if (shape.equals("service")) {
            for (int i = 1; i <= 3; i++) {
                w.controllers.get(0).cancel(jobId(i));
            }
        }
        assertSettles(w, 200);
    }

    /** All controllers are away for longer than a lease, and jobs are cancelled just before or just after. */
    @ParameterizedTest(name = "for {0} s, cancelled before {1}, {2}")
    @CsvSource({"12, true, array", "12, false, gang", "25, true, gang", "25, false, array", "12, true, service"})
    void allControllersAwayForLongerThanALease(double forS, boolean before, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 100;
        for (int i = 1; i <= 3; i++) {
            submit(w, i, shape, 4);
        }
        assertTrue(runUntilStarted(w, 12));
        w.runFor(3);
        if (before) {
            assertEquals("withdrawn", w.controllers.get(1).cancel(jobId(1)).get("status"));
        }
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            n.restartAfter(forS);
        }
        w.runFor(forS + 0.1);
        if (!before) {
            assertTrue(w.runUntil(
                    20,
                    () -> "withdrawn"
                            .equals(String.valueOf(
                                    w.controllers.get(1).cancel(jobId(1)).get("status")))));
        }
        w.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 1);
        assertEquals(0, activeTaskCount(w, jobId(1)));
        w.taskDurationS = 5;
        assertSettles(w, 200);
    }

    /** More work than room, urgent and not, over slow links, while the leader ends. */
    @ParameterizedTest(name = "links {0} s slow, the leader ends {1}")
    @CsvSource({"0.3, false", "0.8, true", "1.2, false"})
    void moreWorkThanRoomOverSlowLinks(double slowS, boolean ends) {
        SimulatedCluster w =
                new SimulatedCluster(3, List.of(new Team("t", 0, 0, 0, 0, 1), new Team("u", 8, 0, 0, 0, 1)));
        w.cloud.capacity = 4;
        w.taskDurationS = 45;
        w.commandDelayS = slowS;
        w.stateService.extraLatencyS = slowS / 4;
        for (int i = 1; i <= 4; i++) {
            w.submitUntilAccepted(jobId(i), 10, false, Map.of("urgency", "idle"));
        }
        w.runFor(8);
        for (int i = 11; i <= 14; i++) {
            Map<String, Object> more = new HashMap<>(Map.of("urgency", i % 2 == 0 ? "prod" : "high", "crew", "u"));
            if (i % 2 == 0) {
                more.put("shape", "daemon");
            }
            w.submitUntilAccepted(jobId(i), 6, false, more);
        }
        w.runFor(4);
        if (ends) {
            w.leader().restartAfter(2);
        }
        w.runFor(20);
        for (int i = 12; i <= 14; i += 2) {
            assertEquals(6, activeTaskCount(w, jobId(i)), "what is urgent has taken the place of what is not");
        }
        w.commandDelayS = 0;
        w.stateService.extraLatencyS = 0;
        w.taskDurationS = 6;
        for (int i = 12; i <= 14; i += 2) {
            w.controllers.get(0).cancel(jobId(i));
        }
        assertSettles(w, 250);
    }

    /** Bad input is answered the same under faults as on a quiet day: never stored, and what was accepted stays so. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"new leader", "leader refused", "outage", "lost answers", "late writes"})
    void oddRequestsAmidFaults(String fault) {
        SimulatedCluster w = new SimulatedCluster(3, List.of(new Team("t", 0, 40, 0, 0, 1)));
        w.taskDurationS = 3;
        w.submitUntilAccepted(jobId(1), 3, false);
        assertTrue(w.runUntil(60, () -> "done".equals(w.pollStatus(jobId(1), 5))));
        w.taskDurationS = 60;
        w.submitUntilAccepted(jobId(2), 3, false);
        w.runFor(2);
        SimulatedCluster.ControllerProcess l = w.leader();
        switch (fault) {
            case "new leader" -> l.restartAfter(0.3);
            case "leader refused" -> l.stateLink = FakeStateService.Link.REFUSED;
            case "outage" -> w.stateService.outage = true;
            case "lost answers" -> w.controllers.forEach(n -> n.stateLink = FakeStateService.Link.RESPONSES_LOST);
            default -> w.controllers.forEach(n -> n.stateLink = FakeStateService.Link.WRITES_DELAYED);
        }
        for (int round = 0; round < 5; round++) {
            for (SimulatedCluster.ControllerProcess n : w.controllers) {
                Map<String, Object> missing = new HashMap<>();
                missing.put("urgency", null);
                among(n.submit(jobId(10), 3, false, missing), 400, 503);
                among(n.submit(jobId(11), 3, false, Map.of("vcpus", 5.0)), 422, 503);
                among(n.submit(jobId(12), 41, true), 422, 503);
                among(n.submit(jobId(13), 3, false, Map.of("crew", "nobody")), 422, 503);
                among(n.submit(jobId(2), 3, false, Map.of("vcpus", -1.0)), 200, 503);
                among(n.submit(jobId(2), 3, false, missing), 200, 503);
                among(n.poll(jobId(14)), 404, 503);
                among(n.cancel(jobId(14)), 404, 503);
                Map<String, Object> a = n.cancel(jobId(1));
                if (a != null && (int) a.get("code") == 200) {
                    assertEquals("done", a.get("status"));
                }
            }
            w.runFor(0.7);
        }
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            n.stateLink = FakeStateService.Link.HEALTHY;
        }
        w.stateService.recover();
        w.runFor(5);
        for (int i = 10; i <= 14; i++) {
            assertEquals(null, w.stateService.value("j/" + jobId(i)));
            assertEquals(null, w.stateService.value("f/" + jobId(i)));
        }
        w.taskDurationS = 5;
        assertSettles(w, 100);
    }

    private static void among(Map<String, Object> answer, int... codes) {
        if (answer == null) {
            return; // its process has ended
        }
        for (int c : codes) {
            if ((int) answer.get("code") == c) {
                return;
            }
        }
        assertEquals(codes[0], answer.get("code"));
    }
}
