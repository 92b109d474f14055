package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.jobId;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.core.zone.ZoneState;
import org.mountlug.store.StateKeys;

/**
 * No fixed limit stands below 4,000 machines: all are rented or found, get work, are known again to a new leader, report at
 * the same time, are lost by the thousand and are returned. Asserted on counts and bounds, never on the clock.
 */
class LargeFleetTest {
    private static final int A_ZONE = 1334;
    private static final int MACHINES = 3 * A_ZONE;
    private static final int JOBS = 10;
    private static final int TASKS = 260;
    private static final double WAIT_S = 300;

    private final ZoneScenario scenario = new ZoneScenario(3, A_ZONE, ZoneSettings.defaults());
    private final SimulatedCluster cluster = scenario.cluster;

    private int known() {
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        return leader == null ? 0 : leader.controller.upMachineCount();
    }

    private Set<String> busy() {
        Set<String> busy = new HashSet<>();
        for (SimulatedCluster.Worker worker : cluster.workers.values()) {
            if (!worker.activeTasks().isEmpty()) {
                busy.add(worker.name);
            }
        }
        return busy;
    }

    @Test
    void aRoundALeaderChangeALossAndAReturnOfAllReports() {
        cluster.taskDurationS = 1000;
        for (int job = 1; job <= JOBS; job++) {
            scenario.submitArray(job, "parts", "standard", TASKS, SimulatedCluster.MACHINE_CPUS);
        }
        assertTrue(
                cluster.runUntil(WAIT_S, () -> cluster.startLog.size() == JOBS * TASKS), cluster.startLog.size() + "");
        assertEquals(MACHINES, known());
        Set<String> before = busy();
        cluster.runFor(30);
        assertNotNull(
                cluster.stateService.value(StateKeys.imageIndexShard(1)), "one value does not hold the images of all");
        assertTrue(cluster.stateService.largestValueBytes <= 8 * 1024);

        SimulatedCluster.ControllerProcess leader = cluster.leader();
        leader.kill();
        assertTrue(cluster.runUntil(
                30, () -> cluster.leader() != null && cluster.leader() != leader && known() == cluster.workers.size()));
        cluster.runFor(5);
        assertEquals(JOBS * TASKS, cluster.startLog.size(), "nothing is started twice for the change");
        assertEquals(before, busy());

        int lost = scenario.activeTasksByJob("a").values().stream()
                .mapToInt(List::size)
                .sum();
        scenario.isolate("a");
        assertTrue(scenario.runUntilState(30, "a", ZoneState.LOST));
        assertTrue(
                cluster.runUntil(WAIT_S, () -> cluster.startLog.size() >= JOBS * TASKS + lost), "all lost work lands");
        scenario.rejoin("a");
        assertTrue(scenario.runUntilState(60, "a", ZoneState.PRESENT));
        assertEquals(cluster.workers.size(), known(), "every report of the zone has come back");
        assertEquals(List.of(), cluster.violations());

        for (int job = 1; job <= JOBS; job++) {
            String id = jobId(job);
            SimulatedCluster.ControllerProcess node = cluster.leader();
            assertTrue(cluster.runUntil(60, () -> {
                var answer = node.cancel(id);
                return answer != null && "withdrawn".equals(answer.get("status"));
            }));
        }
        assertTrue(cluster.runUntil(WAIT_S, () -> cluster.workers.size() <= 1), cluster.workers.size() + " are left");
        int rented = cluster.machinesRented;
        cluster.runFor(30);
        assertEquals(rented, cluster.machinesRented);
        assertTrue(cluster.workers.size() <= 1);
        assertEquals(List.of(), cluster.violations());
    }
}
