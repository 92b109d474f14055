package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;

/** Steps that tests of overlapping faults share. */
final class FaultTestSteps {
    private FaultTestSteps() {}

    /** The id of the job of this number. */
    static String jobId(int n) {
        return String.format("wk-%06d", n);
    }

    /** A controller that runs, and is not this one. */
    static SimulatedCluster.ControllerProcess otherController(
            SimulatedCluster w, SimulatedCluster.ControllerProcess excluded) {
        return w.controllers.stream()
                .filter(n -> n != excluded && n.up && n.pausedUntilS <= w.nowS)
                .findFirst()
                .orElseThrow();
    }

    /** Waits until so many tasks have been started. */
    static boolean runUntilStarted(SimulatedCluster w, int tasks) {
        return w.runUntil(
                90,
                () -> w.workers.values().stream().mapToInt(k -> k.startCount).sum() >= tasks);
    }

    /** The last fault is over: all jobs end within the time, and nothing was broken. */
    static void assertSettles(SimulatedCluster w, double timeoutS) {
        w.runUntilSettled(timeoutS);
        assertEquals(List.of(), w.violations());
    }

    /** How many machines hold a task of the job. */
    static long activeTaskCount(SimulatedCluster w, String id) {
        return w.workers.values().stream()
                .flatMap(k -> k.activeTasks().stream())
                .filter(t -> t.jobId.equals(id))
                .count();
    }

    /** Submits a job of the shape. */
    static void submit(SimulatedCluster w, int n, String jobType, int tasks) {
        w.submitUntilAccepted(
                jobId(n),
                tasks,
                jobType.equals("gang"),
                jobType.equals("service") ? Map.of("shape", "daemon") : Map.of());
    }
}
