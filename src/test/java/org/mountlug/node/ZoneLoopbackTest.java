package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.jobId;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mountlug.core.model.Team;
import org.mountlug.core.zone.RampSettings;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.core.zone.ZoneState;
import org.mountlug.core.zone.ZoneThresholds;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;

/**
 * Three controllers on loopback sockets and machines in three zones, of which zone a is isolated and connected again. Its jobs
 * must finish in the other zones, and it must get new work at the pace of the ramp. Speed is not asserted.
 */
class ZoneLoopbackTest {
    private static final int MACHINES_PER_ZONE = 4;
    private static final int JOB_COUNT = 6;
    private static final double TIMEOUT_S = 60;
    private static final ZoneSettings SETTINGS = new ZoneSettings(
            true, List.of(), new ZoneThresholds(3, 0.5, 0.8, 0.25, 0.5, 1, 2, 8, 60), new RampSettings(0.1, 0.1, 1));

    private static SimulatedCluster createSimulation(OperatorSettings operators) {
        SimulatedCluster simulation =
                new SimulatedCluster(0, List.of(new Team("t", 0, 0, 0, 0, 1)), 5, false, 8, 8, operators);
        simulation.cloud.zones = List.copyOf(ZoneScenario.ZONES);
        simulation.cloud.zonesRefusingRentals.addAll(ZoneScenario.ZONES);
        simulation.taskDurationS = 4;
        return simulation;
    }

    private static void setZoneIsolated(SimulatedCluster simulation, boolean isolated) {
        for (SimulatedWorker worker : simulation.workers.values()) {
            worker.inIsolatedZone = isolated && worker.zone.equals("a");
        }
    }

    private static boolean isInState(LoopbackCluster cluster, ZoneState state) {
        return cluster.zoneMetric("mountlug_zone_state", "a") == state.ordinal();
    }

    private static boolean awaitState(LoopbackCluster cluster, ZoneState state) {
        for (int i = 0; i < 10 * TIMEOUT_S && !isInState(cluster, state); i++) {
            cluster.waitUntil(0.1, () -> false);
        }
        return isInState(cluster, state);
    }

    @Test
    void aZoneIsLostAndReturns() throws IOException, Settings.InvalidSettingException {
        OperatorSettings operators = OperatorSettings.defaults().withZones(SETTINGS);
        SimulatedCluster simulation = createSimulation(operators);
        try (LoopbackCluster cluster = new LoopbackCluster(simulation, operators, 3)) {
            synchronized (simulation) {
                for (int i = 0; i < MACHINES_PER_ZONE; i++) {
                    for (String zone : ZoneScenario.ZONES) {
                        cluster.openCommandEndpoint(simulation.addMachine(zone));
                    }
                }
            }
            assertTrue(cluster.submitUntilAccepted(jobId(1), 4, Map.of("lane", "proofs", "urgency", "high")));
            for (int job = 2; job <= JOB_COUNT - 1; job++) {
                assertTrue(cluster.submitUntilAccepted(jobId(job), 40, Map.of("lane", "parts", "urgency", "standard")));
            }
            assertTrue(cluster.waitUntil(TIMEOUT_S, () -> simulation.startLog.size() >= 48), "all machines run tasks");
            assertTrue(cluster.submitUntilAccepted(jobId(JOB_COUNT), 30, Map.of("lane", "proofs", "urgency", "high")));
            double isolatedAtS;
            synchronized (simulation) {
                isolatedAtS = simulation.nowS;
                setZoneIsolated(simulation, true);
            }
            assertTrue(awaitState(cluster, ZoneState.LOST));
            double rejoinedAtS;
            double lostAtS;
            synchronized (simulation) {
                lostAtS = simulation.nowS;
            }
            cluster.waitUntil(4, () -> false);
            synchronized (simulation) {
                assertEquals(0, countStartsInZone(simulation, lostAtS));
                double delayS = ZoneScenario.START_DELAY_S + 2 * cluster.longestClockStepS();
                assertEquals(
                        0,
                        countPriorityInversions(simulation, isolatedAtS, delayS),
                        "starts of lower priority while high-priority tasks waited");
                setZoneIsolated(simulation, false);
                rejoinedAtS = simulation.nowS;
            }
            assertStartsFollowRamp(cluster, rejoinedAtS);
            assertAllJobsFinish(cluster);
            synchronized (simulation) {
                assertEquals(List.of(), simulation.violations());
            }
        }
    }

    private static long countStartsInZone(SimulatedCluster simulation, double fromS) {
        return simulation.startLog.stream()
                .filter(start -> start.zone().equals("a") && start.atS() >= fromS)
                .count();
    }

    /**
     * Counts starts of standard priority while high-priority tasks waited: from the time when the workers' leases in the
     * isolated zone have certainly ended until the last start of a high-priority task.
     *
     * @param delayS time within which a decided start takes effect
     */
    private static long countPriorityInversions(SimulatedCluster simulation, double isolatedAtS, double delayS) {
        double waitingFromS = isolatedAtS + simulation.workerLeaseS + delayS;
        List<String> highPriorityJobs = List.of(jobId(1), jobId(JOB_COUNT));
        double lastHighPriorityStartS = simulation.startLog.stream()
                .filter(start -> highPriorityJobs.contains(start.jobId()))
                .mapToDouble(SimulatedCluster.TaskStart::atS)
                .max()
                .orElse(0);
        return simulation.startLog.stream()
                .filter(start -> !highPriorityJobs.contains(start.jobId()) && start.atS() > waitingFromS)
                .filter(start -> start.atS() < lastHighPriorityStartS - delayS)
                .count();
    }

    /** Asserts that the zone gets no more starts than the ramp allows while it returns, and that it gets some. */
    private static void assertStartsFollowRamp(LoopbackCluster cluster, double rejoinedAtS) {
        SimulatedCluster simulation = cluster.simulation;
        assertTrue(awaitState(cluster, ZoneState.RETURNING), "zone a returns; the ramp takes at least three seconds");
        while (isInState(cluster, ZoneState.RETURNING)) {
            double rampStarts = cluster.zoneMetric("mountlug_zone_ramp_starts", "a");
            assertTrue(
                    Double.isNaN(rampStarts) || rampStarts <= MACHINES_PER_ZONE,
                    "starts allowed by the ramp: " + rampStarts);
            synchronized (simulation) {
                long starts = countStartsInZone(simulation, rejoinedAtS);
                assertTrue(
                        starts <= maxAdmittedStarts(simulation.nowS - rejoinedAtS),
                        "starts in the returning zone: " + starts);
            }
            cluster.waitUntil(0.2, () -> false);
        }
        assertTrue(awaitState(cluster, ZoneState.PRESENT));
        assertTrue(
                cluster.waitUntil(TIMEOUT_S, () -> countStartsInZone(simulation, rejoinedAtS) > 0),
                "the zone gets new starts");
    }

    /**
     * Returns the most starts that the ramp can have admitted. It allows one start at first and one more each second, and
     * there may be two scheduling rounds a second while tasks wait.
     */
    private static double maxAdmittedStarts(double durationS) {
        double sum = 0;
        for (int second = 0; second <= durationS; second++) {
            sum += 2 * Math.min(MACHINES_PER_ZONE, 1 + second);
        }
        return sum;
    }

    /** Asserts that every job has the outcome done, and that every controller answers polls for it with status 200. */
    private static void assertAllJobsFinish(LoopbackCluster cluster) {
        SimulatedCluster simulation = cluster.simulation;
        for (int i = 0; i < 3 * TIMEOUT_S; i++) {
            for (int job = 1; job <= JOB_COUNT; job++) {
                cluster.poll(i + job, jobId(job));
            }
            boolean allFinished = cluster.waitUntil(0.5, () -> {
                for (int job = 1; job <= JOB_COUNT; job++) {
                    if (simulation.outcome(jobId(job)) == null) {
                        return false;
                    }
                }
                return true;
            });
            if (allFinished) {
                break;
            }
        }
        for (int job = 1; job <= JOB_COUNT; job++) {
            for (int controller = 0; controller < 3; controller++) {
                assertEquals(200, cluster.poll(controller, jobId(job)));
            }
            synchronized (simulation) {
                assertEquals("done", simulation.outcome(jobId(job)));
            }
        }
    }
}
