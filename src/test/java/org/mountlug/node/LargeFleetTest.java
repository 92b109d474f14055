package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultScenario.id;

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
        SimulatedCluster.Node leader = cluster.leader();
        return leader == null ? 0 : leader.controller.machinesUp();
    }

    private Set<String> busy() {
        Set<String> busy = new HashSet<>();
        for (SimulatedCluster.Worker worker : cluster.workers.values()) {
            if (!worker.held().isEmpty()) {
                busy.add(worker.name);
            }
        }
        return busy;
    }

    @Test
    void aRoundALeaderChangeALossAndAReturnOfAllReports() {
        cluster.runS = 1000;
        for (int job = 1; job <= JOBS; job++) {
            scenario.array(job, "parts", "standard", TASKS, SimulatedCluster.TYPE_CPUS);
        }
        assertTrue(cluster.until(WAIT_S, () -> cluster.startLog.size() == JOBS * TASKS), cluster.startLog.size() + "");
        assertEquals(MACHINES, known());
        Set<String> before = busy();
        cluster.run(30);
        assertNotNull(cluster.state.value(StateKeys.images(1)), "one value does not hold the images of all");
        assertTrue(cluster.state.largestValue <= 8 * 1024);

        SimulatedCluster.Node leader = cluster.leader();
        leader.kill();
        assertTrue(cluster.until(
                30, () -> cluster.leader() != null && cluster.leader() != leader && known() == cluster.workers.size()));
        cluster.run(5);
        assertEquals(JOBS * TASKS, cluster.startLog.size(), "nothing is started twice for the change");
        assertEquals(before, busy());

        int lost = scenario.held("a").values().stream().mapToInt(List::size).sum();
        scenario.cut("a");
        assertTrue(scenario.until(30, "a", ZoneState.LOST));
        assertTrue(cluster.until(WAIT_S, () -> cluster.startLog.size() >= JOBS * TASKS + lost), "all lost work lands");
        scenario.rejoin("a");
        assertTrue(scenario.until(60, "a", ZoneState.PRESENT));
        assertEquals(cluster.workers.size(), known(), "every report of the zone has come back");
        assertEquals(List.of(), cluster.broken());

        for (int job = 1; job <= JOBS; job++) {
            String id = id(job);
            SimulatedCluster.Node node = cluster.leader();
            assertTrue(cluster.until(60, () -> {
                var answer = node.abort(id);
                return answer != null && "withdrawn".equals(answer.get("status"));
            }));
        }
        assertTrue(cluster.until(WAIT_S, () -> cluster.workers.size() <= 1), cluster.workers.size() + " are left");
        int rented = cluster.rented;
        cluster.run(30);
        assertEquals(rented, cluster.rented);
        assertTrue(cluster.workers.size() <= 1);
        assertEquals(List.of(), cluster.broken());
    }
}
