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
 * Tests that no fixed limit lies below 4,000 machines: they get tasks, report to a new leader, lose a whole zone that rejoins,
 * and are returned to the cloud. The assertions are about counts and bounds, not about elapsed time.
 */
class LargeFleetTest {
    private static final int MACHINES_PER_ZONE = 1334;
    private static final int MACHINES = 3 * MACHINES_PER_ZONE;
    private static final int JOBS = 10;
    private static final int TASKS_PER_JOB = 260;
    private static final double TIMEOUT_S = 300;

    private final ZoneScenario scenario = new ZoneScenario(3, MACHINES_PER_ZONE, ZoneSettings.defaults());
    private final SimulatedCluster cluster = scenario.cluster;

    /** Returns the number of machines that the leader counts as up; 0 without a leader. */
    private int machinesKnownToLeader() {
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        return leader == null ? 0 : leader.controller.reportedMachineCount();
    }

    /** Returns the names of the machines with active tasks. */
    private Set<String> busyMachines() {
        Set<String> busy = new HashSet<>();
        for (SimulatedWorker worker : cluster.workers.values()) {
            if (!worker.activeTasks().isEmpty()) {
                busy.add(worker.name);
            }
        }
        return busy;
    }

    @Test
    void fourThousandMachinesSurviveLeaderChangeAndZoneLoss() {
        cluster.taskDurationS = 1000;
        for (int job = 1; job <= JOBS; job++) {
            scenario.submitArray(job, "parts", "standard", TASKS_PER_JOB, SimulatedCluster.MACHINE_CPUS);
        }
        assertTrue(
                cluster.runUntil(TIMEOUT_S, () -> cluster.startLog.size() == JOBS * TASKS_PER_JOB),
                cluster.startLog.size() + " starts");
        assertEquals(MACHINES, machinesKnownToLeader());
        Set<String> busyBefore = busyMachines();
        cluster.runFor(30);
        assertNotNull(
                cluster.stateService.value(StateKeys.imageIndexShard(1)),
                "the image index has a second shard, as one value cannot hold all machines");
        assertTrue(cluster.stateService.largestValueBytes <= 8 * 1024);

        SimulatedCluster.ControllerProcess leader = cluster.leader();
        leader.kill();
        assertTrue(cluster.runUntil(
                30,
                () -> cluster.leader() != null
                        && cluster.leader() != leader
                        && machinesKnownToLeader() == cluster.workers.size()));
        cluster.runFor(5);
        assertEquals(JOBS * TASKS_PER_JOB, cluster.startLog.size(), "the leader change starts no task again");
        assertEquals(busyBefore, busyMachines());

        int displacedTasks = scenario.activeTasksByJob("a").values().stream()
                .mapToInt(List::size)
                .sum();
        scenario.isolate("a");
        assertTrue(scenario.runUntilState(30, "a", ZoneState.LOST));
        assertTrue(
                cluster.runUntil(TIMEOUT_S, () -> cluster.startLog.size() >= JOBS * TASKS_PER_JOB + displacedTasks),
                "all displaced tasks are restarted");
        scenario.rejoin("a");
        assertTrue(scenario.runUntilState(60, "a", ZoneState.PRESENT));
        assertEquals(cluster.workers.size(), machinesKnownToLeader(), "every machine of the zone reports again");
        assertEquals(List.of(), cluster.violations());

        for (int job = 1; job <= JOBS; job++) {
            String id = jobId(job);
            SimulatedCluster.ControllerProcess process = cluster.leader();
            assertTrue(cluster.runUntil(60, () -> {
                var response = process.cancel(id);
                return response != null && "withdrawn".equals(response.get("status"));
            }));
        }
        assertTrue(
                cluster.runUntil(TIMEOUT_S, () -> cluster.workers.size() <= 1),
                cluster.workers.size() + " machines are left");
        int rented = cluster.machinesRented;
        cluster.runFor(30);
        assertEquals(rented, cluster.machinesRented);
        assertTrue(cluster.workers.size() <= 1);
        assertEquals(List.of(), cluster.violations());
    }
}
