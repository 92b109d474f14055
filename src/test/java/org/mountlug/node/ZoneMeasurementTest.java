package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.jobId;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mountlug.core.zone.ZoneSettings;

/**
 * Measures a zone's loss and return with zone tracking on and off, and prints rows for the table of {@code docs/zones.md}.
 * Builds run it with a small fleet; the table's fleets are run by {@code mvn -B test -Dtest=ZoneMeasurementTest
 * -Dmountlug.measure=300,1000,4000}.
 */
class ZoneMeasurementTest {
    private static final double TASK_DURATION_S = 40;
    private static final double MACHINE_BOOT_S = 20;
    private static final int URGENT_JOBS = 4;

    private ZoneScenario scenario;
    private SimulatedCluster cluster;
    private final Map<String, Double> firstSeenS = new HashMap<>();
    private final Map<String, Double> lastSeenS = new HashMap<>();

    /** Records once a second which machines exist. */
    private void recordMachines() {
        for (String name : cluster.workers.keySet()) {
            firstSeenS.putIfAbsent(name, cluster.nowS);
            lastSeenS.put(name, cluster.nowS);
        }
        cluster.schedule(1, this::recordMachines);
    }

    /** Returns each fleet size with two lengths of the isolation, in seconds, and with zone tracking on and off. */
    static Stream<Arguments> cases() {
        return Arrays.stream(System.getProperty("mountlug.measure", "60").split(","))
                .map(Integer::valueOf)
                .flatMap(machines -> Stream.of(25.0, 60.0)
                        .flatMap(isolatedS -> Stream.of(false, true)
                                .map(zonesTracked -> Arguments.of(machines, isolatedS, zonesTracked))));
    }

    @ParameterizedTest(name = "{0} machines, isolated for {1} s, zone tracking {2}")
    @MethodSource("cases")
    void measure(int machines, double isolatedS, boolean zonesTracked) {
        scenario = new ZoneScenario(3, machines / 3, zonesTracked ? ZoneSettings.defaults() : ZoneSettings.disabled());
        cluster = scenario.cluster;
        cluster.taskDurationS = TASK_DURATION_S;
        cluster.machineBootS = MACHINE_BOOT_S;
        cluster.cloud.capacity = machines * 3 / 2;
        cluster.cloud.zoneCapacity.clear();
        for (int job = 1; job <= URGENT_JOBS; job++) {
            scenario.submitArray(job, "proofs", "high", machines / 40, SimulatedCluster.MACHINE_CPUS);
        }
        int bulkJobs = 10;
        for (int job = 1; job <= bulkJobs; job++) {
            scenario.submitArray(URGENT_JOBS + job, "parts", "standard", machines / 4, SimulatedCluster.MACHINE_CPUS);
        }
        assertTrue(cluster.runUntil(60, () -> cluster.startLog.size() >= machines / 3 * 3));
        cluster.runFor(12);
        recordMachines();
        Map<String, List<Integer>> displaced = scenario.activeTasksByJob("a");
        double isolatedAtS = cluster.nowS;
        scenario.isolate("a");
        cluster.runFor(isolatedS);
        scenario.rejoin("a");
        double rejoinedAtS = cluster.nowS;
        cluster.runFor(120);

        double slowestUrgentRestartS = 0;
        long urgentTasks = 0;
        for (int job = 1; job <= URGENT_JOBS; job++) {
            for (int index : displaced.getOrDefault(jobId(job), List.of())) {
                urgentTasks++;
                slowestUrgentRestartS = Math.max(
                        slowestUrgentRestartS, scenario.firstStartAfterS(jobId(job), index, isolatedAtS) - isolatedAtS);
            }
        }
        long restartedTasks = 0;
        for (Map.Entry<String, List<Integer>> job : displaced.entrySet()) {
            for (int index : job.getValue()) {
                restartedTasks +=
                        scenario.firstStartAfterS(job.getKey(), index, isolatedAtS) < Double.POSITIVE_INFINITY ? 1 : 0;
            }
        }
        long peakStartsPerS = 0;
        for (double fromS = rejoinedAtS; fromS < rejoinedAtS + 60; fromS++) {
            peakStartsPerS = Math.max(peakStartsPerS, scenario.countStarts("a", fromS, fromS + 1));
        }
        double substituteMachineS = 0;
        int substitutes = 0;
        for (Map.Entry<String, Double> machine : firstSeenS.entrySet()) {
            if (machine.getValue() > isolatedAtS + 1 && machine.getValue() <= rejoinedAtS + 20) {
                substitutes++;
                substituteMachineS += lastSeenS.get(machine.getKey()) - machine.getValue();
            }
        }
        System.out.printf(
                "| %d | %.0f | %s | %d of %d | %.0f | %d | %d | %d | %d | %.0f |%n",
                machines,
                isolatedS,
                zonesTracked ? "on" : "off",
                urgentTasks,
                displaced.values().stream().mapToInt(List::size).sum(),
                slowestUrgentRestartS,
                countInversions(isolatedAtS),
                restartedTasks,
                peakStartsPerS,
                substitutes,
                substituteMachineS / 60);
        assertTrue(
                urgentTasks > 0 && slowestUrgentRestartS < Double.POSITIVE_INFINITY,
                "all displaced urgent tasks are restarted");
        assertEquals(0, countInversions(isolatedAtS));
        assertEquals(List.of(), cluster.violations());
    }

    /** Returns the number of starts of other jobs while a displaced urgent task had been pending for longer than a start takes. */
    private long countInversions(double isolatedAtS) {
        double fromS = isolatedAtS + cluster.workerLeaseS + 1 + ZoneScenario.START_DELAY_S;
        double lastUrgentStartS = 0;
        for (SimulatedCluster.TaskStart start : cluster.startLog) {
            if (start.atS() > fromS && Integer.parseInt(start.jobId().substring(3)) <= URGENT_JOBS) {
                lastUrgentStartS = start.atS();
            }
        }
        double untilS = lastUrgentStartS - ZoneScenario.START_DELAY_S;
        return cluster.startLog.stream()
                .filter(start -> Integer.parseInt(start.jobId().substring(3)) > URGENT_JOBS)
                .filter(start -> start.atS() > fromS && start.atS() < untilS)
                .count();
    }
}
