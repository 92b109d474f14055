package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;

/** Steps that tests of overlapping faults share. */
final class FaultScenario {
    private FaultScenario() {}

    /** The id of the job of this number. */
    static String id(int n) {
        return String.format("wk-%06d", n);
    }

    /** A controller that runs, and is not this one. */
    static SimulatedCluster.Node other(SimulatedCluster w, SimulatedCluster.Node not) {
        return w.nodes.stream()
                .filter(n -> n != not && n.up && n.frozenUntil <= w.now)
                .findFirst()
                .orElseThrow();
    }

    /** Waits until so many tasks have been started. */
    static boolean allStarted(SimulatedCluster w, int tasks) {
        return w.until(
                90, () -> w.workers.values().stream().mapToInt(k -> k.starts).sum() >= tasks);
    }

    /** The last fault is over: all jobs end within the time, and nothing was broken. */
    static void end(SimulatedCluster w, double mostS) {
        w.settle(mostS);
        assertEquals(List.of(), w.broken());
    }

    /** How many machines hold a task of the job. */
    static long on(SimulatedCluster w, String id) {
        return w.workers.values().stream()
                .flatMap(k -> k.held().stream())
                .filter(t -> t.job.equals(id))
                .count();
    }

    /** Submits a job of the shape. */
    static void submit(SimulatedCluster w, int n, String shape, int tasks) {
        w.accept(id(n), tasks, shape.equals("gang"), shape.equals("service") ? Map.of("shape", "daemon") : Map.of());
    }
}
