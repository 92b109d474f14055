package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;

/** Steps that the tests with simulated clusters share. */
final class FaultTestSteps {
    private FaultTestSteps() {}

    /** Returns the job id with this number. */
    static String jobId(int number) {
        return String.format("wk-%06d", number);
    }

    /** Returns the first controller that is up, not paused, and not the excluded one. */
    static SimulatedCluster.ControllerProcess otherController(
            SimulatedCluster cluster, SimulatedCluster.ControllerProcess excluded) {
        return cluster.controllers.stream()
                .filter(process -> process != excluded && process.up && process.pausedUntilS <= cluster.nowS)
                .findFirst()
                .orElseThrow();
    }

    /** Runs until the current machines have started this many tasks; returns false if they do not within 90 s. */
    static boolean runUntilStarted(SimulatedCluster cluster, int tasks) {
        return cluster.runUntil(
                90,
                () -> cluster.workers.values().stream()
                                .mapToInt(worker -> worker.startCount)
                                .sum()
                        >= tasks);
    }

    /** Asserts, after the last fault, that all jobs settle within the timeout and that no violation was recorded. */
    static void assertSettles(SimulatedCluster cluster, double timeoutS) {
        cluster.runUntilSettled(timeoutS);
        assertEquals(List.of(), cluster.violations());
    }

    /** Returns the number of the job's active tasks on all machines. */
    static long activeTaskCount(SimulatedCluster cluster, String id) {
        return cluster.workers.values().stream()
                .flatMap(worker -> worker.activeTasks().stream())
                .filter(task -> task.jobId.equals(id))
                .count();
    }

    /** Submits a job of the type "array", "gang" or "service" until it is accepted. */
    static void submit(SimulatedCluster cluster, int number, String jobType, int tasks) {
        cluster.submitUntilAccepted(
                jobId(number),
                tasks,
                jobType.equals("gang"),
                jobType.equals("service") ? Map.of("shape", "daemon") : Map.of());
    }
}
