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

/** Services: their replicas are restarted after every kind of loss, run until the service is cancelled, and stop soon after. */
class ServicesTest {
    private static final String SERVICE_ID = "wk-000001";
    private static final Map<String, Object> SERVICE_FIELDS =
            Map.of("shape", "daemon", "urgency", "prod", "expectedS", 0.0, "loaners", false);

    private static Set<String> runningReplicas(SimulatedCluster cluster) {
        Set<String> tasks = new HashSet<>();
        for (SimulatedWorker worker : cluster.workers.values()) {
            if (worker.terminated) {
                continue;
            }
            for (SimulatedTask task : worker.tasks.values()) {
                if (task.jobId.equals(SERVICE_ID) && task.state == org.mountlug.core.model.AttemptState.RUNNING) {
                    tasks.add(task.jobId + "/" + task.index);
                }
            }
        }
        return tasks;
    }

    private static SimulatedCluster startService(int replicas) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.submitUntilAccepted(SERVICE_ID, replicas, false, SERVICE_FIELDS);
        assertTrue(cluster.runUntil(40, () -> runningReplicas(cluster).size() == replicas));
        return cluster;
    }

    private static SimulatedWorker workerWithReplica(SimulatedCluster cluster) {
        return cluster.workers.values().stream()
                .filter(worker -> worker.tasks.values().stream().anyMatch(task -> task.jobId.equals(SERVICE_ID)))
                .findFirst()
                .orElseThrow();
    }

    /** However a replica exits, and whichever machine, controller or state service fails, it runs again, and only once. */
    @ParameterizedTest(name = "{0}, within {1} s")
    @CsvSource({
        "done, 20",
        "stopped, 20",
        "error, 20",
        "machine is lost, 40",
        "machine cut off, 40",
        "machine faulty, 90",
        "leader is restarted, 30",
        "all controllers restart, 40",
        "all controllers down for longer than a lease, 60",
        "outage, 60"
    })
    void replicasAreRestarted(String fault, double timeoutS) {
        SimulatedCluster cluster = startService(6);
        SimulatedWorker affectedWorker = workerWithReplica(cluster);
        switch (fault) {
            case "done", "stopped", "error" -> {
                cluster.replicaExitCause = ExitCause.valueOf(fault.toUpperCase());
                assertTrue(cluster.runUntil(30, () -> runningReplicas(cluster).size() < 6));
                cluster.replicaExitCause = null;
            }
            case "machine is lost" -> affectedWorker.crash();
            case "machine cut off" -> affectedWorker.disconnected = true;
            case "machine faulty" -> affectedWorker.failsAllTasks = true;
            case "leader is restarted" -> cluster.leader().restartAfter(6);
            case "all controllers restart" -> cluster.controllers.forEach(controller -> controller.restartAfter(1));
            case "all controllers down for longer than a lease" ->
                cluster.controllers.forEach(controller -> controller.restartAfter(14));
            default -> {
                cluster.stateService.outage = true;
                cluster.schedule(15, cluster.stateService::recover);
            }
        }
        cluster.runFor(2);
        // An unreachable machine may run its replicas until its worker lease expires, so the affected machine must run
        // none any more.
        assertTrue(
                cluster.runUntil(
                        timeoutS,
                        () -> runningReplicas(cluster).size() == 6
                                && (!fault.startsWith("machine")
                                        || affectedWorker.tasks.isEmpty()
                                        || affectedWorker.terminated)),
                () -> runningReplicas(cluster) + " run after " + fault);
        assertTrue(cluster.runUntil(8, () -> "running".equals(cluster.pollStatus(SERVICE_ID, 5))));
        assertEquals(List.of(), cluster.violations());
    }

    /** The status of a service contains the number of running replicas. */
    @Test
    void theStatusIncludesTheNumberOfRunningReplicas() {
        SimulatedCluster cluster = startService(6);
        assertTrue(cluster.runUntil(10, () -> {
            Map<String, Object> response = cluster.controllers.get(1).poll(SERVICE_ID);
            return response != null
                    && Integer.valueOf(6).equals(response.get("running"))
                    && "running".equals(response.get("status"));
        }));
    }

    /** Replicas that fail at once again and again are restarted more slowly, and delay no other job. */
    @Test
    void replicasThatKeepFailingAreRestartedMoreSlowly() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.failingJobs.add(SERVICE_ID);
        cluster.submitUntilAccepted(SERVICE_ID, 2, false, SERVICE_FIELDS);
        cluster.submitUntilAccepted("wk-000002", 8, false);
        assertTrue(cluster.runUntil(60, () -> cluster.pollStatus("wk-000002", 5).equals("done")));
        cluster.runFor(60);
        int starts = cluster.workers.values().stream()
                .mapToInt(worker -> worker.startCount)
                .sum();
        assertTrue(starts < 40, starts + " starts");
        assertTrue(List.of("pending", "running").contains(cluster.pollStatus(SERVICE_ID, 5)));
        assertEquals(List.of(), cluster.violations());
    }

    /**
     * A service that is cancelled during a fault gets the status withdrawn and keeps it, and its replicas stop by the
     * deadline.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(
            strings = {
                "no fault",
                "failing replicas",
                "machine is lost",
                "machine cut off",
                "leader is restarted",
                "all controllers restart",
                "cancelled twice"
            })
    void aServiceIsCancelled(String fault) {
        SimulatedCluster cluster = startService(6);
        SimulatedCluster.ControllerProcess follower = cluster.controllers.stream()
                .filter(controller -> controller != cluster.leader())
                .findFirst()
                .orElseThrow();
        switch (fault) {
            case "failing replicas" -> {
                cluster.replicaExitCause = ExitCause.ERROR;
                assertTrue(cluster.runUntil(30, () -> runningReplicas(cluster).size() < 6));
            }
            case "machine is lost" -> workerWithReplica(cluster).crash();
            case "machine cut off" -> workerWithReplica(cluster).disconnected = true;
            case "leader is restarted" -> cluster.leader().restartAfter(6);
            case "all controllers restart" -> cluster.controllers.forEach(controller -> controller.restartAfter(0.5));
            default -> {}
        }
        if (fault.equals("all controllers restart")) {
            cluster.runFor(2);
        }
        assertTrue(cluster.runUntil(20, () -> {
            Map<String, Object> response = follower.cancel(SERVICE_ID);
            return response != null && "withdrawn".equals(response.get("status"));
        }));
        if (fault.equals("cancelled twice")) {
            cluster.controllers.forEach(controller -> controller.cancel(SERVICE_ID));
        }
        cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S);
        assertEquals(Set.of(), runningReplicas(cluster));
        assertEquals("withdrawn", cluster.pollStatus(SERVICE_ID, 75));
        cluster.runFor(30);
        assertEquals(Set.of(), runningReplicas(cluster));
        assertEquals(List.of(), cluster.violations());
    }
}
