package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.assertSettles;
import static org.mountlug.node.FaultTestSteps.jobId;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Machines that are gone while the cloud's machine list lags, around changes of leader: a leader must find out that they
 * are gone although they never report to it, and must not take living machines for gone.
 */
class DepartedMachinesTest {
    /** Seconds within which a job must run that only waits until a leader knows which machines are gone. */
    private static final double RECOVERY_TIMEOUT_S = 60;

    /** Rents machines by an array whose tasks are in a hurry, and runs it until all of its tasks are done. */
    private static SimulatedCluster createIdleCluster(List<Object> zones, double listLagS, int tasks) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.zones = zones;
        cluster.cloud.listLagS = listLagS;
        cluster.taskDurationS = 25;
        for (Object zone : zones) {
            cluster.submitUntilAccepted(
                    jobId(10 + zones.indexOf(zone)), tasks, false, Map.of("dueS", 35.0, "site", zone));
        }
        for (int i = 0; i < zones.size(); i++) {
            String id = jobId(10 + i);
            assertTrue(cluster.runUntil(60, () -> cluster.pollStatus(id, 5).equals("done")));
        }
        assertTrue(cluster.workers.size() >= 5 * zones.size(), "idle machines remain");
        cluster.taskDurationS = 5;
        return cluster;
    }

    /**
     * Guards against a leader that took returned machines, which the lagging list made known to it, for silent ones, and
     * rented no machine any more where most machines seemed silent.
     */
    @ParameterizedTest(name = "zones {0}, list {1} s late, the leader ends {2} s after the return")
    @CsvSource({"a, 10, 3", "a, 10, 8", "a, 20, 3", "a, 20, 12", "a b, 10, 3"})
    void aZoneWhoseIdleMachinesWereReturnedBeforeAHandoverIsRentedInAgain(
            String zones, double listLagS, double leaderEndsAfterS) {
        SimulatedCluster cluster = createIdleCluster(List.of((Object[]) zones.split(" ")), listLagS, 24);
        assertTrue(cluster.runUntil(60, () -> cluster.workers.size() <= 1), "idle machines are returned");
        cluster.runFor(leaderEndsAfterS);
        cluster.leader().restartAfter(5);
        cluster.runFor(14);
        cluster.submitUntilAccepted(jobId(1), 8, false, Map.of("site", "a"));
        assertTrue(cluster.runUntil(
                RECOVERY_TIMEOUT_S, () -> cluster.pollStatus(jobId(1), 5).equals("done")));
        assertSettles(cluster, 100);
    }
}
