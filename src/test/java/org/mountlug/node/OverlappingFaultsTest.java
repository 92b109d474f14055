package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultScenario.allStarted;
import static org.mountlug.node.FaultScenario.end;
import static org.mountlug.node.FaultScenario.id;
import static org.mountlug.node.FaultScenario.on;
import static org.mountlug.node.FaultScenario.other;
import static org.mountlug.node.FaultScenario.submit;

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
        w.runS = 150;
        for (int i = 1; i <= 6; i++) {
            submit(w, i, shape, 4);
        }
        assertTrue(allStarted(w, 24));
        int[] terms = new int[1];
        w.onLead.add(n -> terms[0]++);
        for (int k = 0; k < 10; k++) {
            w.in(12 * k + 1, () -> {
                if (w.leader() != null) {
                    w.leader().restartAfter(0.4);
                }
            });
        }
        for (int i = 1; i <= 3; i++) {
            String id = id(i);
            for (int q = 0; q < 20; q++) {
                w.in(20 * i + q, () -> {
                    SimulatedCluster.Node n = w.nodes.get(2);
                    if (!w.cancelledAt.containsKey(id)) {
                        n.askLater("abort", id, r -> n.users.abort(id, r), null);
                    }
                });
            }
        }
        if (outage) {
            for (double t : new double[] {18, 66}) {
                w.in(t, () -> w.state.outage = true);
                w.in(t + 16, () -> w.state.recover());
            }
        }
        w.run(125);
        assertTrue(terms[0] >= (outage ? 7 : 9), () -> terms[0] + " terms");
        w.runS = 5;
        end(w, 250);
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
        w.runS = 100;
        for (int i = 1; i <= 4; i++) {
            submit(w, i, shape, 4);
        }
        w.accept(id(5), 6, false, Map.of("site", "a"));
        w.accept(id(6), 6, false, Map.of("site", "b", "oneZone", true));
        assertTrue(allStarted(w, 28));
        w.run(3);
        SimulatedCluster.Node in = leaderInside ? w.leader() : other(w, w.leader());
        in.inside = true;
        assertTrue(w.workers.values().stream().anyMatch(k -> k.zone.equals("a")));
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.inside = k.zone.equals("a");
        }
        SimulatedCluster.Node outside = other(w, in);
        w.run(cancelS);
        for (int i : new int[] {1, 5}) {
            w.until(
                    12,
                    () -> "withdrawn".equals(String.valueOf(outside.abort(id(i)).get("status"))));
            assertTrue(w.cancelledAt.containsKey(id(i)));
        }
        w.run(forS);
        in.inside = false;
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.inside = false;
        }
        w.run(SimulatedCluster.CANCEL_S);
        w.runS = 5;
        for (int i : new int[] {2, 3, 4}) {
            if (shape.equals("service")) {
                outside.abort(id(i));
            }
        }
        end(w, 200);
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
        w.runS = 80;
        Map<String, Object> more = new HashMap<>(by.equals("site") ? Map.of("site", "a") : Map.of("oneZone", true));
        if (shape.equals("service")) {
            more.put("shape", "daemon");
        }
        for (int i = 1; i <= 4; i++) {
            w.accept(id(i), 8, shape.equals("gang"), more);
        }
        assertTrue(w.until(60, () -> on(w, id(1)) + on(w, id(2)) + on(w, id(3)) + on(w, id(4)) == 32), "all run");
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
                k.die();
            } else if (how.equals("cut")) {
                k.cut = true;
                w.in(24, () -> k.cut = false);
            } else {
                k.hangsUntil = w.now + 9.2;
            }
        }
        if (ends) {
            w.leader().restartAfter(0.4);
        }
        w.run(26);
        w.runS = 5;
        if (shape.equals("service")) {
            w.run(60);
            for (int j = 1; j <= 4; j++) {
                assertEquals(8, on(w, id(j)), "all replicas run again");
            }
            for (int j = 1; j <= 4; j++) {
                w.nodes.get(0).abort(id(j));
            }
        }
        end(w, 250);
    }

    /** A job bound to one zone loses machines while only the other zone has room: it waits for its own. */
    @ParameterizedTest(name = "{0}, the leader ends {1}")
    @CsvSource({"array, false", "array, true", "service, false", "service, true"})
    void whatIsBoundToAZoneDoesNotGoWhereThereIsRoom(String shape, boolean ends) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.zones = List.of("a", "b");
        w.runS = 120;
        Map<String, Object> more = new HashMap<>(Map.of("oneZone", true));
        if (shape.equals("service")) {
            more.put("shape", "daemon");
        }
        w.accept(id(1), 8, false, more);
        assertTrue(w.until(60, () -> on(w, id(1)) == 8));
        String zone = w.workers.values().stream()
                .filter(k -> !k.held().isEmpty())
                .findFirst()
                .orElseThrow()
                .zone;
        String elsewhere = zone.equals("a") ? "b" : "a";
        w.cloud.zoneCapacity.put(zone, 0);
        w.worker(elsewhere);
        w.worker(elsewhere);
        w.run(6);
        List<SimulatedCluster.Worker> there = w.workers.values().stream()
                .filter(k -> k.zone.equals(zone))
                .sorted(java.util.Comparator.comparingInt(k -> k.held().size()))
                .toList();
        for (SimulatedCluster.Worker k : there.subList(0, there.size() - 1)) {
            k.die();
        }
        if (ends) {
            w.leader().restartAfter(0.4);
        }
        w.run(14);
        assertTrue(on(w, id(1)) <= 4, "room elsewhere is none for it");
        w.cloud.zoneCapacity.clear();
        w.run(60);
        if (shape.equals("service")) {
            assertEquals(8, on(w, id(1)));
            w.nodes.get(0).abort(id(1));
        }
        w.runS = 5;
        end(w, 200);
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
        w.runS = 60;
        submit(w, 1, shape, 8);
        submit(w, 2, shape, 4);
        assertTrue(allStarted(w, 12));
        w.run(2);
        List<SimulatedCluster.Worker> mute = new ArrayList<>(w.workers.values());
        for (SimulatedCluster.Worker k : mute) {
            k.mute = true;
            w.in(forS, () -> k.mute = false);
        }
        w.run(0.5);
        if (cancelled) {
            assertEquals("withdrawn", w.nodes.get(0).abort(id(1)).get("status"));
        }
        if (ends) {
            w.leader().restartAfter(0.3);
        }
        submit(w, 3, shape, 4); // starts may go directly to them
        w.run(forS + 10);
        if (shape.equals("service")) {
            for (int i = 1; i <= 3; i++) {
                w.nodes.get(0).abort(id(i));
            }
        }
        end(w, 200);
    }

    /** All controllers are away for longer than a lease, and jobs are cancelled just before or just after. */
    @ParameterizedTest(name = "for {0} s, cancelled before {1}, {2}")
    @CsvSource({"12, true, array", "12, false, gang", "25, true, gang", "25, false, array", "12, true, service"})
    void allControllersAwayForLongerThanALease(double forS, boolean before, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 100;
        for (int i = 1; i <= 3; i++) {
            submit(w, i, shape, 4);
        }
        assertTrue(allStarted(w, 12));
        w.run(3);
        if (before) {
            assertEquals("withdrawn", w.nodes.get(1).abort(id(1)).get("status"));
        }
        for (SimulatedCluster.Node n : w.nodes) {
            n.restartAfter(forS);
        }
        w.run(forS + 0.1);
        if (!before) {
            assertTrue(w.until(
                    20,
                    () -> "withdrawn"
                            .equals(String.valueOf(w.nodes.get(1).abort(id(1)).get("status")))));
        }
        w.run(SimulatedCluster.CANCEL_S + 1);
        assertEquals(0, on(w, id(1)));
        w.runS = 5;
        end(w, 200);
    }

    /** More work than room, urgent and not, over slow links, while the leader ends. */
    @ParameterizedTest(name = "links {0} s slow, the leader ends {1}")
    @CsvSource({"0.3, false", "0.8, true", "1.2, false"})
    void moreWorkThanRoomOverSlowLinks(double slowS, boolean ends) {
        SimulatedCluster w =
                new SimulatedCluster(3, List.of(new Team("t", 0, 0, 0, 0, 1), new Team("u", 8, 0, 0, 0, 1)));
        w.cloud.capacity = 4;
        w.runS = 45;
        w.commandLateS = slowS;
        w.state.slowS = slowS / 4;
        for (int i = 1; i <= 4; i++) {
            w.accept(id(i), 10, false, Map.of("urgency", "idle"));
        }
        w.run(8);
        for (int i = 11; i <= 14; i++) {
            Map<String, Object> more = new HashMap<>(Map.of("urgency", i % 2 == 0 ? "prod" : "high", "crew", "u"));
            if (i % 2 == 0) {
                more.put("shape", "daemon");
            }
            w.accept(id(i), 6, false, more);
        }
        w.run(4);
        if (ends) {
            w.leader().restartAfter(2);
        }
        w.run(20);
        for (int i = 12; i <= 14; i += 2) {
            assertEquals(6, on(w, id(i)), "what is urgent has taken the place of what is not");
        }
        w.commandLateS = 0;
        w.state.slowS = 0;
        w.runS = 6;
        for (int i = 12; i <= 14; i += 2) {
            w.nodes.get(0).abort(id(i));
        }
        end(w, 250);
    }

    /** Bad input is answered the same under faults as on a quiet day: never stored, and what was accepted stays so. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"new leader", "leader refused", "outage", "lost answers", "late writes"})
    void oddRequestsAmidFaults(String fault) {
        SimulatedCluster w = new SimulatedCluster(3, List.of(new Team("t", 0, 40, 0, 0, 1)));
        w.runS = 3;
        w.accept(id(1), 3, false);
        assertTrue(w.until(60, () -> "done".equals(w.status(id(1), 5))));
        w.runS = 60;
        w.accept(id(2), 3, false);
        w.run(2);
        SimulatedCluster.Node l = w.leader();
        switch (fault) {
            case "new leader" -> l.restartAfter(0.3);
            case "leader refused" -> l.link = StateStandIn.Link.REFUSED;
            case "outage" -> w.state.outage = true;
            case "lost answers" -> w.nodes.forEach(n -> n.link = StateStandIn.Link.UNHEARD);
            default -> w.nodes.forEach(n -> n.link = StateStandIn.Link.LATE);
        }
        for (int round = 0; round < 5; round++) {
            for (SimulatedCluster.Node n : w.nodes) {
                Map<String, Object> missing = new HashMap<>();
                missing.put("urgency", null);
                among(n.submit(id(10), 3, false, missing), 400, 503);
                among(n.submit(id(11), 3, false, Map.of("vcpus", 5.0)), 422, 503);
                among(n.submit(id(12), 41, true), 422, 503);
                among(n.submit(id(13), 3, false, Map.of("crew", "nobody")), 422, 503);
                among(n.submit(id(2), 3, false, Map.of("vcpus", -1.0)), 200, 503);
                among(n.submit(id(2), 3, false, missing), 200, 503);
                among(n.poll(id(14)), 404, 503);
                among(n.abort(id(14)), 404, 503);
                Map<String, Object> a = n.abort(id(1));
                if (a != null && (int) a.get("code") == 200) {
                    assertEquals("done", a.get("status"));
                }
            }
            w.run(0.7);
        }
        for (SimulatedCluster.Node n : w.nodes) {
            n.link = StateStandIn.Link.GOOD;
        }
        w.state.recover();
        w.run(5);
        for (int i = 10; i <= 14; i++) {
            assertEquals(null, w.state.value("j/" + id(i)));
            assertEquals(null, w.state.value("f/" + id(i)));
        }
        w.runS = 5;
        end(w, 100);
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
