package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.core.model.Team;

/**
 * A team without a guarantee submits best-effort work, as one large array or as many one-task jobs, beside a team with a
 * guarantee.
 */
class BestEffortTeamsTest {
    /** Seconds within which work inside its team's guarantee must run: the 10 s of the objective, and 4 s to start. */
    private static final double GUARANTEED_START_S = 14;

    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    private static SimulatedCluster newCluster() {
        SimulatedCluster cluster =
                new SimulatedCluster(3, List.of(new Team("t", 24, 40, 0, 0, 1), new Team("guest", 0, 0, 0, 0, 1)), 10);
        cluster.cloud.capacity = 10;
        return cluster;
    }

    /** Work inside a team's guarantee does not wait for best-effort tasks to end. */
    @ParameterizedTest(name = "best-effort work: {0}, new leader {1}")
    @CsvSource({"one array, false", "one-task jobs, false", "one array, true", "one-task jobs, true"})
    void aGuaranteeIsKeptBesideBestEffortWork(String workload, boolean newLeader) {
        SimulatedCluster cluster = newCluster();
        cluster.taskDurationS = 150;
        submitBestEffortWork(cluster, workload);
        assertTrue(
                cluster.runUntil(120, () -> cluster.usedCpus("guest") >= 38),
                "best-effort tasks use nearly all CPUs: " + cluster.usedCpus("guest"));
        cluster.runFor(5);
        if (newLeader) {
            cluster.leader().restartAfter(0.3);
            cluster.runFor(6);
        }
        cluster.submitUntilAccepted(id(900), 20, false, Map.of("crew", "t", "urgency", "standard", "bookmarkS", 0.0));
        double submittedAtS = cluster.nowS;
        assertTrue(
                cluster.runUntil(60, () -> cluster.usedCpus("t") >= 20),
                "CPUs in use within the guarantee: " + cluster.usedCpus("t"));
        assertTrue(
                cluster.nowS - submittedAtS <= GUARANTEED_START_S,
                "guaranteed work runs after " + (cluster.nowS - submittedAtS) + " s");
        assertEquals(List.of(), cluster.violations());
    }

    /**
     * While guaranteed work keeps arriving, at least half of the best-effort jobs start within eight minutes, and the largest
     * within four.
     */
    @ParameterizedTest(name = "best-effort work: {0}")
    @CsvSource({"one array", "one-task jobs"})
    void bestEffortWorkRunsBesideGuaranteedWork(String workload) {
        SimulatedCluster cluster = newCluster();
        cluster.taskDurationS = 10;
        // 24 tasks of 10 s every 10 s: they need 24 of the 40 CPUs all the time.
        for (int i = 0; i < 60; i++) {
            int number = 500 + i;
            cluster.schedule(
                    5 + i * 10,
                    () -> cluster.controllers.get(1).submitAsync(id(number), 24, false, Map.of("crew", "t")));
        }
        cluster.runFor(30);
        double startS = cluster.nowS;
        Map<String, Double> startDelaysS = new HashMap<>();
        submitBestEffortWork(cluster, workload);
        List<String> bestEffortJobs = new ArrayList<>();
        for (String job : cluster.acceptedJobs()) {
            if (Integer.parseInt(job.substring(3)) < 500) {
                bestEffortJobs.add(job);
            }
        }
        while (cluster.nowS < startS + 480) {
            cluster.runFor(5);
            for (String job : bestEffortJobs) {
                if (cluster.startsByJob.containsKey(job)) {
                    startDelaysS.putIfAbsent(job, cluster.nowS - startS);
                }
            }
        }
        assertTrue(
                startDelaysS.size() * 2 >= bestEffortJobs.size(),
                startDelaysS.size() + " started of " + bestEffortJobs.size());
        assertTrue(
                startDelaysS.getOrDefault(bestEffortJobs.get(0), 1e9) <= 240,
                "the largest started after " + startDelaysS.get(bestEffortJobs.get(0)));
        cluster.runUntilSettled(600);
        assertEquals(List.of(), cluster.violations());
    }

    private static void submitBestEffortWork(SimulatedCluster cluster, String workload) {
        Map<String, Object> idle = Map.of("crew", "guest", "urgency", "idle", "dueS", 30.0);
        if (workload.equals("one array")) {
            cluster.submitUntilAccepted(id(1), 400, false, idle);
            return;
        }
        for (int i = 1; i <= 120; i++) {
            cluster.submitUntilAccepted(id(i), 1, false, idle);
        }
    }
}
