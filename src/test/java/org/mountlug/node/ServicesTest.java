package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.core.model.ExitCause;

/** Services: they come back after every kind of loss, run until called off, and are gone soon after. */
class ServicesTest {
    private static final String S = "wk-000001";
    private static final Map<String, Object> SERVICE =
            Map.of("shape", "daemon", "urgency", "prod", "expectedS", 0.0, "loaners", false);

    private static Set<String> running(SimulatedCluster w) {
        Set<String> tasks = new HashSet<>();
        for (SimulatedCluster.Worker x : w.workers.values()) {
            if (x.terminated) {
                continue;
            }
            for (SimulatedCluster.Task t : x.tasks.values()) {
                if (t.jobId.equals(S) && t.state == org.mountlug.core.model.AttemptState.RUNNING) {
                    tasks.add(t.jobId + "/" + t.index);
                }
            }
        }
        return tasks;
    }

    private static SimulatedCluster serving(int replicas) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.submitUntilAccepted(S, replicas, false, SERVICE);
        assertTrue(w.runUntil(40, () -> running(w).size() == replicas));
        return w;
    }

    private static SimulatedCluster.Worker holder(SimulatedCluster w) {
        return w.workers.values().stream()
                .filter(x -> x.tasks.values().stream().anyMatch(t -> t.jobId.equals(S)))
                .findFirst()
                .orElseThrow();
    }

    /** Whatever a replica ends with, and whatever is lost under it, it runs again, once. */
    @ParameterizedTest(name = "{0}, within {1} s")
    @CsvSource({
        "done, 20",
        "stopped, 20",
        "error, 20",
        "machine dies, 40",
        "machine cut, 40",
        "machine sick, 90",
        "leader ends, 30",
        "all end, 40",
        "all end for longer than a lease, 60",
        "outage, 60"
    })
    void replicasReturn(String loss, double within) {
        SimulatedCluster w = serving(6);
        SimulatedCluster.Worker first = holder(w);
        switch (loss) {
            case "done", "stopped", "error" -> {
                w.replicaExitCause = ExitCause.valueOf(loss.toUpperCase());
                assertTrue(w.runUntil(30, () -> running(w).size() < 6));
                w.replicaExitCause = null;
            }
            case "machine dies" -> first.crash();
            case "machine cut" -> first.disconnected = true;
            case "machine sick" -> first.failsAllTasks = true;
            case "leader ends" -> w.leader().restartAfter(6);
            case "all end" -> w.controllers.forEach(n -> n.restartAfter(1));
            case "all end for longer than a lease" -> w.controllers.forEach(n -> n.restartAfter(14));
            default -> {
                w.stateService.outage = true;
                w.schedule(15, w.stateService::recover);
            }
        }
        w.runFor(2);
        // A machine that cannot be reached may go on for its lease; what it runs is not what counts.
        assertTrue(
                w.runUntil(
                        within,
                        () -> running(w).size() == 6
                                && (!loss.startsWith("machine") || first.tasks.isEmpty() || first.terminated)),
                () -> running(w) + " run after " + loss);
        assertTrue(w.runUntil(8, () -> "running".equals(w.pollStatus(S, 5))));
        assertEquals(List.of(), w.violations());
    }

    /** Its user is told how many replicas run. */
    @Test
    void theNumberOfRunningReplicasIsTold() {
        SimulatedCluster w = serving(6);
        assertTrue(w.runUntil(10, () -> {
            Map<String, Object> a = w.controllers.get(1).poll(S);
            return a != null && Integer.valueOf(6).equals(a.get("running")) && "running".equals(a.get("status"));
        }));
    }

    /** One that ends at once again and again is slowed, and takes nobody else's turn. */
    @Test
    void endingAtOnceAgainAndAgainIsSlowed() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.failingJobs.add(S);
        w.submitUntilAccepted(S, 2, false, SERVICE);
        w.submitUntilAccepted("wk-000002", 8, false);
        assertTrue(w.runUntil(60, () -> w.pollStatus("wk-000002", 5).equals("done")));
        w.runFor(60);
        int starts = w.workers.values().stream().mapToInt(x -> x.startCount).sum();
        assertTrue(starts < 40, starts + " starts");
        assertTrue(List.of("pending", "running").contains(w.pollStatus(S, 5)));
        assertEquals(List.of(), w.violations());
    }

    /** Called off in the middle of anything, it is withdrawn, gone in time, and stays so. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"quiet", "restart", "machine dies", "machine cut", "leader ends", "all end", "twice"})
    void aServiceIsCalledOff(String amid) {
        SimulatedCluster w = serving(6);
        SimulatedCluster.ControllerProcess asked =
                w.controllers.stream().filter(n -> n != w.leader()).findFirst().orElseThrow();
        switch (amid) {
            case "restart" -> {
                w.replicaExitCause = ExitCause.ERROR;
                assertTrue(w.runUntil(30, () -> running(w).size() < 6));
            }
            case "machine dies" -> holder(w).crash();
            case "machine cut" -> holder(w).disconnected = true;
            case "leader ends" -> w.leader().restartAfter(6);
            case "all end" -> w.controllers.forEach(n -> n.restartAfter(0.5));
            default -> {}
        }
        if (amid.equals("all end")) {
            w.runFor(2);
        }
        assertTrue(w.runUntil(20, () -> {
            Map<String, Object> a = asked.cancel(S);
            return a != null && "withdrawn".equals(a.get("status"));
        }));
        if (amid.equals("twice")) {
            w.controllers.forEach(n -> n.cancel(S));
        }
        w.runFor(SimulatedCluster.CANCEL_DEADLINE_S);
        assertEquals(Set.of(), running(w));
        assertEquals("withdrawn", w.pollStatus(S, 75));
        w.runFor(30);
        assertEquals(Set.of(), running(w));
        assertEquals(List.of(), w.violations());
    }
}
