package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.core.model.Team;

/**
 * The way from the version in production to this one while both serve, and the lowering of the state service's limits
 * after it. What a record may hold is smaller here than any operator's, so that jobs of some tasks need parts.
 */
class UpgradeTest {
    private static final double LEAST_KB = 0.9;
    private static final int LEAST_OPS = 3;

    private static SimulatedCluster old(int controllers) {
        SimulatedCluster w =
                new SimulatedCluster(controllers, List.of(new Team("t", 0, 0, 0, 0, 1)), 10, true, LEAST_KB, LEAST_OPS);
        w.taskDurationS = 9;
        return w;
    }

    private static String id(int n) {
        return String.format("wk-%06d", n);
    }

    private static void allDone(SimulatedCluster w, int from, int to, double mostS) {
        for (int i = from; i <= to; i++) {
            String id = id(i);
            assertTrue(
                    w.runUntil(mostS, () -> w.pollStatus(id, 5).equals("done")),
                    () -> id + " is " + w.pollStatus(id, 5));
        }
        assertEquals(List.of(), w.violations());
    }

    /** Controllers go over one by one, the leader first, last or in its turn; others end out of turn and come back old. */
    @ParameterizedTest(name = "leader {0}, {1} s apart, another ends: {2}")
    @CsvSource({"first, 6, none", "last, 6, none", "any, 2, none", "any, 6, old", "last, 4, new", "first, 0.3, old"})
    void jobsOutliveTheUpgrade(String leader, double apart, String alsoEnds) {
        SimulatedCluster w = old(5);
        for (int i = 1; i <= 6; i++) {
            w.submitUntilAccepted(id(i), i * 30, i % 3 == 0 && i < 6, Map.of("vcpus", i % 3 == 0 ? 0.5 : 1.0));
        }
        w.runFor(8);
        List<SimulatedCluster.ControllerProcess> order = new ArrayList<>(w.controllers);
        SimulatedCluster.ControllerProcess first = w.leader();
        if (!leader.equals("any") && first != null) {
            order.remove(first);
            order.add(leader.equals("first") ? 0 : order.size(), first);
        }
        for (int i = 0; i < order.size(); i++) {
            order.get(i).upgradeAfter(2);
            if (alsoEnds.equals("old") && i + 1 < order.size()) {
                order.get(i + 1).restartAfter(0.2);
            }
            if (alsoEnds.equals("new") && i > 0) {
                order.get(i - 1).restartAfter(0.2);
            }
            w.runFor(apart);
        }
        w.runFor(15);
        assertEquals(5, w.stateService.keys("v/").size());
        w.stateService.setSizeLimits(LEAST_KB, LEAST_OPS);
        w.submitUntilAccepted(id(7), 120, false);
        w.submitUntilAccepted(id(8), 4, false, Map.of("shape", "daemon", "urgency", "prod", "expectedS", 0.0));
        allDone(w, 1, 7, 300);
        assertEquals("running", w.pollStatus(id(8), 5));
        assertEquals(0, w.stateService.oversizedWritesRefused);
        // Nothing of a job that is over is left.
        assertTrue(
                w.runUntil(60, () -> w.stateService.keys("p/").isEmpty()),
                () -> w.stateService.keys("p/").toString());
    }

    /** Until the last one has gone over, all is written as production reads it, whoever leads. */
    @Test
    void nothingNewIsWrittenWhileOneCannotReadIt() {
        SimulatedCluster w = old(3);
        w.submitUntilAccepted(id(1), 150, false);
        w.runFor(5);
        w.controllers.get(0).upgradeAfter(1);
        w.controllers.get(1).upgradeAfter(3);
        w.runFor(20);
        for (int i = 0; i < 4; i++) { // the leader changes in both directions
            SimulatedCluster.ControllerProcess l = w.leader();
            if (l != null) {
                l.restartAfter(1);
            }
            w.runFor(12);
        }
        assertEquals(List.of(), w.stateService.keys("p/"));
        assertEquals(2, w.stateService.keys("v/").size());
        allDone(w, 1, 1, 200);
    }

    /**
     * The limits are lowered before what production left could be written anew. A job whose record is too large is
     * finished, started, called off all the same, and takes nobody else's turn.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"finishes", "called off", "called off by all", "leader ends in mid-switch", "outage"})
    void recordsThatAreTooLargeAreDealtWith(String what) {
        SimulatedCluster w = old(3);
        w.taskDurationS = 25;
        w.cloud.capacity = 100;
        w.submitUntilAccepted(
                id(1), 160, false, Map.of("ramGb", 16.0, "lane", "l".repeat(100), "bundle", "b".repeat(100)));
        w.submitUntilAccepted(id(2), 4, false);
        assertTrue(
                w.runUntil(
                        60, () -> org.mountlug.wire.Json.length(w.stateService.value("j/" + id(1))) > LEAST_KB * 1024),
                () -> "largest value " + w.stateService.largestValueBytes + ", machines " + w.workers.size());
        Collections.shuffle(w.controllers, new java.util.Random(3));
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            n.upgradeAfter(0.5);
        }
        w.stateService.setSizeLimits(LEAST_KB, LEAST_OPS);
        w.runFor(1);
        switch (what) {
            case "called off", "called off by all" -> {
                List<SimulatedCluster.ControllerProcess> asked =
                        what.equals("called off") ? w.controllers.subList(0, 1) : w.controllers;
                for (SimulatedCluster.ControllerProcess n : asked) {
                    assertTrue(
                            w.runUntil(40, () -> {
                                Map<String, Object> a = n.cancel(id(1));
                                return a != null && "withdrawn".equals(a.get("status"));
                            }),
                            "not called off");
                }
            }
            case "leader ends in mid-switch" -> {
                assertTrue(w.runUntil(40, () -> !w.stateService.keys("p/").isEmpty()));
                w.controllers.forEach(n -> n.restartAfter(0.4));
            }
            case "outage" -> {
                w.stateService.outage = true;
                w.schedule(12, w.stateService::recover);
            }
            default -> {}
        }
        w.submitUntilAccepted(id(3), 40, false);
        if (what.startsWith("called off")) {
            w.runFor(SimulatedCluster.CANCEL_DEADLINE_S);
            assertEquals("withdrawn", w.pollStatus(id(1), 75));
            allDone(w, 2, 3, 600);
        } else {
            allDone(w, 1, 3, 600);
        }
        assertTrue(
                w.runUntil(60, () -> w.stateService.keys("p/").isEmpty()),
                () -> w.stateService.keys("p/").toString());
    }

    /** A change that the state service never takes keeps nobody else's from being written, and nobody from leading. */
    @Test
    void aRefusedChangeStopsNobodyElse() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.submitUntilAccepted(id(1), 4, false);
        w.runFor(10);
        SimulatedCluster.ControllerProcess leader = w.leader();
        long token = leader.token();
        w.submitUntilAccepted(id(2), 60, false, Map.of("lane", "l".repeat(100)));
        w.submitUntilAccepted(id(3), 1, false);
        w.stateService.setSizeLimits(
                0.3, 8); // whatever the settings say, only the smallest records fit until it is raised again
        w.runFor(40);
        int refused = w.stateService.oversizedWritesRefused;
        assertTrue(
                refused > 0 && refused < 30, refused + " refused, largest value " + w.stateService.largestValueBytes);
        assertEquals("done", w.pollStatus(id(3), 5));
        assertEquals(token, w.leader().token());
        w.stateService.setSizeLimits(8, 8);
        allDone(w, 1, 3, 120);
    }
}
