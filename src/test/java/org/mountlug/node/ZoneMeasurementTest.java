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
 * Measures a zone's loss and return at several fleet sizes, with zones tracked and not, and prints a row for the table of
 * {@code docs/zones.md}. A small fleet with every build, the table's by hand: {@code mvn -B test -Dtest=ZoneMeasurementTest
 * -Dmountlug.measure=300,1000,4000}.
 */
class ZoneMeasurementTest {
    private static final double RUN_S = 40;
    private static final double BOOT_S = 20;
    private static final int URGENT_JOBS = 4;

    private ZoneScenario scenario;
    private SimulatedCluster cluster;
    private final Map<String, Double> seenFirst = new HashMap<>();
    private final Map<String, Double> seenLast = new HashMap<>();

    private void watchMachines() {
        for (String name : cluster.workers.keySet()) {
            seenFirst.putIfAbsent(name, cluster.nowS);
            seenLast.put(name, cluster.nowS);
        }
        cluster.schedule(1, this::watchMachines);
    }

    /** Machines, seconds away, tracked or not: every size twice by the length of the cut and twice by the switch. */
    static Stream<Arguments> cases() {
        return Arrays.stream(System.getProperty("mountlug.measure", "60").split(","))
                .map(Integer::valueOf)
                .flatMap(machines -> Stream.of(25.0, 60.0)
                        .flatMap(awayS ->
                                Stream.of(false, true).map(tracked -> Arguments.of(machines, awayS, tracked))));
    }

    @ParameterizedTest(name = "{0} machines, {1} s away, tracked {2}")
    @MethodSource("cases")
    void measure(int machines, double awayS, boolean tracked) {
        scenario = new ZoneScenario(3, machines / 3, tracked ? ZoneSettings.defaults() : ZoneSettings.disabled());
        cluster = scenario.cluster;
        cluster.taskDurationS = RUN_S;
        cluster.machineBootS = BOOT_S;
        cluster.cloud.capacity = machines * 3 / 2;
        cluster.cloud.zoneCapacity.clear();
        for (int job = 1; job <= URGENT_JOBS; job++) {
            scenario.submitArray(job, "proofs", "high", machines / 40, SimulatedCluster.MACHINE_CPUS);
        }
        int bulk = 10;
        for (int job = 1; job <= bulk; job++) {
            scenario.submitArray(URGENT_JOBS + job, "parts", "standard", machines / 4, SimulatedCluster.MACHINE_CPUS);
        }
        assertTrue(cluster.runUntil(60, () -> cluster.startLog.size() >= machines / 3 * 3));
        cluster.runFor(12);
        watchMachines();
        Map<String, List<Integer>> displaced = scenario.activeTasksByJob("a");
        double cutAt = cluster.nowS;
        scenario.isolate("a");
        cluster.runFor(awayS);
        scenario.rejoin("a");
        double joinedAt = cluster.nowS;
        cluster.runFor(120);

        double urgentS = 0;
        long urgent = 0;
        for (int job = 1; job <= URGENT_JOBS; job++) {
            for (int index : displaced.getOrDefault(jobId(job), List.of())) {
                urgent++;
                urgentS = Math.max(urgentS, scenario.firstStartAfterS(jobId(job), index, cutAt) - cutAt);
            }
        }
        long repeated = 0;
        for (Map.Entry<String, List<Integer>> job : displaced.entrySet()) {
            for (int index : job.getValue()) {
                repeated += scenario.firstStartAfterS(job.getKey(), index, cutAt) < Double.POSITIVE_INFINITY ? 1 : 0;
            }
        }
        long most = 0;
        for (double from = joinedAt; from < joinedAt + 60; from++) {
            most = Math.max(most, scenario.countStarts("a", from, from + 1));
        }
        double substituteS = 0;
        int substitutes = 0;
        for (Map.Entry<String, Double> machine : seenFirst.entrySet()) {
            if (machine.getValue() > cutAt + 1 && machine.getValue() <= joinedAt + 20) {
                substitutes++;
                substituteS += seenLast.get(machine.getKey()) - machine.getValue();
            }
        }
        System.out.printf(
                "| %d | %.0f | %s | %d of %d | %.0f | %d | %d | %d | %d | %.0f |%n",
                machines,
                awayS,
                tracked ? "on" : "off",
                urgent,
                displaced.values().stream().mapToInt(List::size).sum(),
                urgentS,
                inversions(cutAt),
                repeated,
                most,
                substitutes,
                substituteS / 60);
        assertTrue(urgent > 0 && urgentS < Double.POSITIVE_INFINITY, "all urgent work lands elsewhere");
        assertEquals(0, inversions(cutAt));
        assertEquals(List.of(), cluster.violations());
    }

    /** Starts of bulk work while a displaced urgent task has waited for longer than a start takes. */
    private long inversions(double cutAt) {
        double openFrom = cutAt + cluster.workerLeaseS + 1 + ZoneScenario.START_DELAY_S;
        double last = 0;
        for (SimulatedCluster.TaskStart start : cluster.startLog) {
            if (start.atS() > openFrom && Integer.parseInt(start.jobId().substring(3)) <= URGENT_JOBS) {
                last = start.atS();
            }
        }
        double until = last - ZoneScenario.START_DELAY_S;
        return cluster.startLog.stream()
                .filter(start -> Integer.parseInt(start.jobId().substring(3)) > URGENT_JOBS)
                .filter(start -> start.atS() > openFrom && start.atS() < until)
                .count();
    }
}
