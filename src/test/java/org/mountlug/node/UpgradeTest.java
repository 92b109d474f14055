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
 * The rolling upgrade from the production version to this version while both serve, and the lowering of the state
 * service's limits after it. The limits are lower here than any operator's, so that even small jobs need record parts.
 */
class UpgradeTest {
    /** Limit on the size of a value in the state service once it is lowered, KiB. */
    private static final double LOWERED_VALUE_KB = 0.9;
    /** Limit on the number of writes in a transaction once it is lowered. */
    private static final int LOWERED_TXN_OPS = 3;

    private static SimulatedCluster productionCluster(int controllers) {
        SimulatedCluster cluster = new SimulatedCluster(
                controllers, List.of(new Team("t", 0, 0, 0, 0, 1)), 10, true, LOWERED_VALUE_KB, LOWERED_TXN_OPS);
        cluster.taskDurationS = 9;
        return cluster;
    }

    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    private static void assertAllDone(SimulatedCluster cluster, int first, int last, double timeoutS) {
        for (int i = first; i <= last; i++) {
            String id = id(i);
            assertTrue(
                    cluster.runUntil(timeoutS, () -> cluster.pollStatus(id, 5).equals("done")),
                    () -> id + " is " + cluster.pollStatus(id, 5));
        }
        assertEquals(List.of(), cluster.violations());
    }

    /**
     * Controllers are upgraded one by one, the leader first, last or in its turn, and others restart in between with the old
     * or the new version: all jobs go on, and no write exceeds the lowered limits.
     */
    @ParameterizedTest(name = "leader {0}, {1} s apart, version of others that restart: {2}")
    @CsvSource({"first, 6, none", "last, 6, none", "any, 2, none", "any, 6, old", "last, 4, new", "first, 0.3, old"})
    void jobsSurviveARollingUpgrade(String leaderPosition, double intervalS, String alsoRestarts) {
        SimulatedCluster cluster = productionCluster(5);
        for (int i = 1; i <= 6; i++) {
            cluster.submitUntilAccepted(id(i), i * 30, i % 3 == 0 && i < 6, Map.of("vcpus", i % 3 == 0 ? 0.5 : 1.0));
        }
        cluster.runFor(8);
        List<SimulatedCluster.ControllerProcess> upgradeOrder = new ArrayList<>(cluster.controllers);
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        if (!leaderPosition.equals("any") && leader != null) {
            upgradeOrder.remove(leader);
            upgradeOrder.add(leaderPosition.equals("first") ? 0 : upgradeOrder.size(), leader);
        }
        for (int i = 0; i < upgradeOrder.size(); i++) {
            upgradeOrder.get(i).upgradeAfter(2);
            if (alsoRestarts.equals("old") && i + 1 < upgradeOrder.size()) {
                upgradeOrder.get(i + 1).restartAfter(0.2);
            }
            if (alsoRestarts.equals("new") && i > 0) {
                upgradeOrder.get(i - 1).restartAfter(0.2);
            }
            cluster.runFor(intervalS);
        }
        cluster.runFor(15);
        assertEquals(5, cluster.stateService.keys("v/").size());
        cluster.stateService.setSizeLimits(LOWERED_VALUE_KB, LOWERED_TXN_OPS);
        cluster.submitUntilAccepted(id(7), 120, false);
        cluster.submitUntilAccepted(id(8), 4, false, Map.of("shape", "daemon", "urgency", "prod", "expectedS", 0.0));
        assertAllDone(cluster, 1, 7, 300);
        assertEquals("running", cluster.pollStatus(id(8), 5));
        assertEquals(0, cluster.stateService.oversizedWritesRefused);
        // No record parts of finished jobs are left.
        assertTrue(
                cluster.runUntil(60, () -> cluster.stateService.keys("p/").isEmpty()),
                () -> cluster.stateService.keys("p/").toString());
    }

    /**
     * Until the last controller is upgraded, all records are written as the production version reads them, whichever version
     * leads.
     */
    @Test
    void noPartsAreWrittenWhileAControllerCannotReadThem() {
        SimulatedCluster cluster = productionCluster(3);
        cluster.submitUntilAccepted(id(1), 150, false);
        cluster.runFor(5);
        cluster.controllers.get(0).upgradeAfter(1);
        cluster.controllers.get(1).upgradeAfter(3);
        cluster.runFor(20);
        for (int i = 0; i < 4; i++) { // the leader changes from either version to the other
            SimulatedCluster.ControllerProcess leader = cluster.leader();
            if (leader != null) {
                leader.restartAfter(1);
            }
            cluster.runFor(12);
        }
        assertEquals(List.of(), cluster.stateService.keys("p/"));
        assertEquals(2, cluster.stateService.keys("v/").size());
        assertAllDone(cluster, 1, 1, 200);
    }

    /**
     * The limits are lowered before the records that the production version wrote could be rewritten. A job whose record is
     * too large is started, finished and cancelled all the same, and delays no other job.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(
            strings = {
                "finishes",
                "cancelled",
                "cancelled on all controllers",
                "controllers restart with parts staged",
                "outage"
            })
    void jobsWithRecordsOverTheLoweredLimit(String scenario) {
        SimulatedCluster cluster = productionCluster(3);
        cluster.taskDurationS = 25;
        cluster.cloud.capacity = 100;
        cluster.submitUntilAccepted(
                id(1), 160, false, Map.of("ramGb", 16.0, "lane", "l".repeat(100), "bundle", "b".repeat(100)));
        cluster.submitUntilAccepted(id(2), 4, false);
        assertTrue(
                cluster.runUntil(
                        60,
                        () -> org.mountlug.wire.Json.length(cluster.stateService.value("j/" + id(1)))
                                > LOWERED_VALUE_KB * 1024),
                () -> "largest value in bytes " + cluster.stateService.largestValueBytes + ", machines "
                        + cluster.workers.size());
        Collections.shuffle(cluster.controllers, new java.util.Random(3));
        for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
            controller.upgradeAfter(0.5);
        }
        cluster.stateService.setSizeLimits(LOWERED_VALUE_KB, LOWERED_TXN_OPS);
        cluster.runFor(1);
        switch (scenario) {
            case "cancelled", "cancelled on all controllers" -> {
                List<SimulatedCluster.ControllerProcess> cancelControllers =
                        scenario.equals("cancelled") ? cluster.controllers.subList(0, 1) : cluster.controllers;
                for (SimulatedCluster.ControllerProcess controller : cancelControllers) {
                    assertTrue(
                            cluster.runUntil(40, () -> {
                                Map<String, Object> response = controller.cancel(id(1));
                                return response != null && "withdrawn".equals(response.get("status"));
                            }),
                            "not cancelled");
                }
            }
            case "controllers restart with parts staged" -> {
                assertTrue(cluster.runUntil(
                        40, () -> !cluster.stateService.keys("p/").isEmpty()));
                cluster.controllers.forEach(controller -> controller.restartAfter(0.4));
            }
            case "outage" -> {
                cluster.stateService.outage = true;
                cluster.schedule(12, cluster.stateService::recover);
            }
            default -> {}
        }
        cluster.submitUntilAccepted(id(3), 40, false);
        if (scenario.startsWith("cancelled")) {
            cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S);
            assertEquals("withdrawn", cluster.pollStatus(id(1), 75));
            assertAllDone(cluster, 2, 3, 600);
        } else {
            assertAllDone(cluster, 1, 3, 600);
        }
        assertTrue(
                cluster.runUntil(60, () -> cluster.stateService.keys("p/").isEmpty()),
                () -> cluster.stateService.keys("p/").toString());
    }

    /**
     * A write that the state service always refuses must neither keep the records of other jobs from being written nor the
     * leader from leading.
     */
    @Test
    void aRefusedWriteBlocksNoOtherJob() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.submitUntilAccepted(id(1), 4, false);
        cluster.runFor(10);
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        long token = leader.token();
        cluster.submitUntilAccepted(id(2), 60, false, Map.of("lane", "l".repeat(100)));
        cluster.submitUntilAccepted(id(3), 1, false);
        cluster.stateService.setSizeLimits(
                0.3, 8); // whatever the settings say, only the smallest records fit until the limit is raised again
        cluster.runFor(40);
        int refused = cluster.stateService.oversizedWritesRefused;
        assertTrue(
                refused > 0 && refused < 30,
                refused + " writes refused, largest value in bytes " + cluster.stateService.largestValueBytes);
        assertEquals("done", cluster.pollStatus(id(3), 5));
        assertEquals(token, cluster.leader().token());
        cluster.stateService.setSizeLimits(8, 8);
        assertAllDone(cluster, 1, 3, 120);
    }
}
