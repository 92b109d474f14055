package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.jobId;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mountlug.Constants;
import org.mountlug.core.admit.AdmissionSettings;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.wire.Fields;

/**
 * Measures a fleet half of whose machines run short tasks that are mostly started directly, and prints a row for the table of
 * {@code docs/results.md}. Builds run it with a small fleet; the table's fleets are run by {@code mvn -B test
 * -Dtest=DirectStartMeasurementTest -Dmountlug.measure=300,1000,4000}.
 */
class DirectStartMeasurementTest {
    private static final OperatorSettings KEEPING_IDLE_MACHINES = new OperatorSettings(
            Map.of(), false, 3600, Constants.SPOT_RISK, ZoneSettings.disabled(), AdmissionSettings.disabled());
    private static final double TASK_DURATION_S = 25;
    private static final int TASKS_PER_JOB = 30;
    private static final double WARM_UP_S = 60;
    private static final double MEASURED_S = 90;

    /** When a write of the leader first showed the placements of a job. */
    private final Map<String, Double> decidedAtS = new HashMap<>();

    private long writes;

    static IntStream fleets() {
        return Arrays.stream(System.getProperty("mountlug.measure", "60").split(","))
                .mapToInt(Integer::parseInt);
    }

    @ParameterizedTest(name = "{0} machines")
    @MethodSource("fleets")
    void measure(int machines) {
        SimulatedCluster cluster = new ZoneScenario(3, machines / 3, KEEPING_IDLE_MACHINES, false).cluster;
        ChangeDrivenReports reports = new ChangeDrivenReports(cluster);
        cluster.taskDurationS = TASK_DURATION_S;
        cluster.stateService.onTransaction = (from, body) -> recordTransaction(cluster, body);
        cluster.runFor(10);
        // Each task takes a whole machine, and half of the machines are busy.
        double jobIntervalS = TASK_DURATION_S * TASKS_PER_JOB * 2 / machines;
        int jobs = (int) ((WARM_UP_S + MEASURED_S) / jobIntervalS);
        for (int job = 1; job <= jobs; job++) {
            String id = jobId(job);
            int controller = job % cluster.controllers.size();
            cluster.schedule(
                    job * jobIntervalS,
                    () -> cluster.controllers
                            .get(controller)
                            .submitAsync(id, TASKS_PER_JOB, false, Map.of("vcpus", SimulatedCluster.MACHINE_CPUS)));
        }
        cluster.runFor(WARM_UP_S);
        long reportsBefore = reports.reports;
        long bytesBefore = reports.bytes;
        long cpuNsBefore = reports.leaderCpuNs;
        long writesBefore = writes;
        double fromS = cluster.nowS;
        cluster.runFor(MEASURED_S);
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        List<Double> delaysS = new ArrayList<>();
        for (SimulatedCluster.TaskStart start : cluster.startLog) {
            if (start.atS() > fromS && decidedAtS.containsKey(start.jobId())) {
                delaysS.add(start.atS() - decidedAtS.get(start.jobId()));
            }
        }
        assertTrue(!delaysS.isEmpty());
        Collections.sort(delaysS);
        List<Double> forgetDelaysS = reports.forgetDelaysS;
        Collections.sort(forgetDelaysS);
        System.out.printf(
                "| %d | %d | %.1f | %.0f | %.1f | %.1f | %d | %.2f | %.2f | %.1f | %.1f |%n",
                machines,
                delaysS.size(),
                (reports.reports - reportsBefore) / MEASURED_S,
                (reports.bytes - bytesBefore) / MEASURED_S,
                (writes - writesBefore) / MEASURED_S,
                (reports.leaderCpuNs - cpuNsBefore) / 1e6 / MEASURED_S,
                (runtime.totalMemory() - runtime.freeMemory()) >> 20,
                delaysS.get(delaysS.size() / 2),
                delaysS.get(delaysS.size() * 95 / 100),
                forgetDelaysS.get(forgetDelaysS.size() / 2),
                forgetDelaysS.get(forgetDelaysS.size() - 1));
        assertEquals(List.of(), cluster.violations());
    }

    private void recordTransaction(SimulatedCluster cluster, Map<String, Object> body) {
        List<Object> entries = Fields.getList(body, "writes");
        writes += entries.size();
        for (Object entry : entries) {
            Map<String, Object> write = Fields.asMap(entry);
            String key = String.valueOf(write.get("put"));
            if (key.startsWith("j/") && Fields.getLong(Fields.asMap(write.get("v")), "a", 0) > 0) {
                decidedAtS.putIfAbsent(key.substring(2), cluster.nowS);
            }
        }
    }
}
