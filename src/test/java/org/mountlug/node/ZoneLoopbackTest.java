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

/** Three zones, three controllers over sockets: one zone is cut off and joined again. Nothing is asserted of speed. */
class ZoneLoopbackTest {
    private static final int MACHINES_A_ZONE = 4;
    private static final int JOBS = 6;
    private static final double WAIT_S = 60;
    private static final ZoneSettings SETTINGS = new ZoneSettings(
            true, List.of(), new ZoneThresholds(3, 0.5, 0.8, 0.25, 0.5, 1, 2, 8, 60), new RampSettings(0.1, 0.1, 1));

    private static SimulatedCluster world(OperatorSettings operators) {
        SimulatedCluster world =
                new SimulatedCluster(0, List.of(new Team("t", 0, 0, 0, 0, 1)), 5, false, 8, 8, operators);
        world.cloud.zones = List.copyOf(ZoneScenario.ZONES);
        world.cloud.zonesRefusingRentals.addAll(ZoneScenario.ZONES);
        world.taskDurationS = 4;
        return world;
    }

    private static void inside(SimulatedCluster world, boolean is) {
        for (SimulatedCluster.Worker worker : world.workers.values()) {
            worker.inIsolatedZone = is && worker.zone.equals("a");
        }
    }

    private static boolean state(LoopbackCluster cluster, ZoneState state) {
        return cluster.zoneMetric("mountlug_zone_state", "a") == state.ordinal();
    }

    private static boolean await(LoopbackCluster cluster, ZoneState state) {
        for (int i = 0; i < 10 * WAIT_S && !state(cluster, state); i++) {
            cluster.waitUntil(0.1, () -> false);
        }
        return state(cluster, state);
    }

    @Test
    void aZoneIsLostAndReturns() throws IOException, Settings.InvalidSettingException {
        OperatorSettings operators = OperatorSettings.defaults().withZones(SETTINGS);
        SimulatedCluster world = world(operators);
        try (LoopbackCluster cluster = new LoopbackCluster(world, operators, 3)) {
            synchronized (world) {
                for (int i = 0; i < MACHINES_A_ZONE; i++) {
                    for (String zone : ZoneScenario.ZONES) {
                        cluster.openCommandEndpoint(world.addMachine(zone));
                    }
                }
            }
            assertTrue(cluster.submitUntilAccepted(jobId(1), 4, Map.of("lane", "proofs", "urgency", "high")));
            for (int job = 2; job <= JOBS - 1; job++) {
                assertTrue(cluster.submitUntilAccepted(jobId(job), 40, Map.of("lane", "parts", "urgency", "standard")));
            }
            assertTrue(cluster.waitUntil(WAIT_S, () -> world.startLog.size() >= 48), "all machines have work");
            assertTrue(cluster.submitUntilAccepted(jobId(JOBS), 30, Map.of("lane", "proofs", "urgency", "high")));
            double cutAt;
            synchronized (world) {
                cutAt = world.nowS;
                inside(world, true);
            }
            assertTrue(await(cluster, ZoneState.LOST));
            double joinedAt;
            double lostAt;
            synchronized (world) {
                lostAt = world.nowS;
            }
            cluster.waitUntil(4, () -> false);
            synchronized (world) {
                assertEquals(0, startsInZone(world, lostAt));
                double delayS = ZoneScenario.START_DELAY_S + 2 * cluster.longestClockStepS();
                assertEquals(0, inversions(world, cutAt, delayS), "urgent work went first");
                inside(world, false);
                joinedAt = world.nowS;
            }
            paced(cluster, joinedAt);
            finish(cluster);
            synchronized (world) {
                assertEquals(List.of(), world.violations());
            }
        }
    }

    private static long startsInZone(SimulatedCluster world, double from) {
        return world.startLog.stream()
                .filter(start -> start.zone().equals("a") && start.atS() >= from)
                .count();
    }

    /** Bulk starts between the time from which urgent tasks certainly waited and the start of the last of these. */
    private static long inversions(SimulatedCluster world, double cutAt, double delayS) {
        double openFrom = cutAt + world.workerLeaseS + delayS;
        List<String> urgent = List.of(jobId(1), jobId(JOBS));
        double lastUrgent = world.startLog.stream()
                .filter(start -> urgent.contains(start.jobId()))
                .mapToDouble(SimulatedCluster.TaskStart::atS)
                .max()
                .orElse(0);
        return world.startLog.stream()
                .filter(start -> !urgent.contains(start.jobId()) && start.atS() > openFrom)
                .filter(start -> start.atS() < lastUrgent - delayS)
                .count();
    }

    /** While the zone returns, starts there keep to what the ramp can have admitted by then, and some do take place. */
    private static void paced(LoopbackCluster cluster, double joinedAt) {
        SimulatedCluster world = cluster.simulation;
        assertTrue(await(cluster, ZoneState.RETURNING), "the ramp takes three seconds at the least");
        while (state(cluster, ZoneState.RETURNING)) {
            double window = cluster.zoneMetric("mountlug_zone_ramp_starts", "a");
            assertTrue(Double.isNaN(window) || window <= MACHINES_A_ZONE, "window " + window);
            synchronized (world) {
                long starts = startsInZone(world, joinedAt);
                assertTrue(starts <= admitted(world.nowS - joinedAt), starts + " starts");
            }
            cluster.waitUntil(0.2, () -> false);
        }
        assertTrue(await(cluster, ZoneState.PRESENT));
        assertTrue(cluster.waitUntil(WAIT_S, () -> startsInZone(world, joinedAt) > 0), "work does return");
    }

    /** The window begins with one and grows by one a second; rounds may come twice a second if somebody waits by the second. */
    private static double admitted(double seconds) {
        double sum = 0;
        for (int second = 0; second <= seconds; second++) {
            sum += 2 * Math.min(MACHINES_A_ZONE, 1 + second);
        }
        return sum;
    }

    /** Every job gets one final outcome, at whichever controller it is asked for. */
    private static void finish(LoopbackCluster cluster) {
        SimulatedCluster world = cluster.simulation;
        for (int i = 0; i < 3 * WAIT_S; i++) {
            for (int job = 1; job <= JOBS; job++) {
                cluster.poll(i + job, jobId(job));
            }
            boolean all = cluster.waitUntil(0.5, () -> {
                for (int job = 1; job <= JOBS; job++) {
                    if (world.outcome(jobId(job)) == null) {
                        return false;
                    }
                }
                return true;
            });
            if (all) {
                break;
            }
        }
        for (int job = 1; job <= JOBS; job++) {
            for (int controller = 0; controller < 3; controller++) {
                assertEquals(200, cluster.poll(controller, jobId(job)));
            }
            synchronized (world) {
                assertEquals("done", world.outcome(jobId(job)));
            }
        }
    }
}
