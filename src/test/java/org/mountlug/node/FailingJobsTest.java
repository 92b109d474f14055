package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Jobs that were submitted with a mistake and fail on every machine, beside machines that fail every task. */
class FailingJobsTest {
    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    /**
     * With several failing jobs at once, tasks of different jobs fail in a row on each machine, as they do on a faulty one.
     * On recorded days more than a hundred machines were given up for this reason, each replaced by a rented one.
     */
    @ParameterizedTest(name = "{0} failing jobs, a faulty machine {1}, new leader {2}")
    @CsvSource({
        "1, false, false",
        "2, false, false",
        "3, false, true",
        "2, true, false",
        "3, true, true",
        "4, false, false",
        "2, false, true",
    })
    void failingJobsQuarantineNoMachine(int failingJobs, boolean faultyMachine, boolean newLeader) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.capacity = 8;
        cluster.taskDurationS = 5;
        cluster.submitUntilAccepted(id(1), 1200, false);
        assertTrue(cluster.runUntil(60, () -> cluster.workers.size() == 8));
        cluster.runFor(8);
        SimulatedWorker faultyWorker = cluster.workers.values().iterator().next();
        List<String> healthyMachines = cluster.workers.keySet().stream()
                .filter(name -> !name.equals(faultyWorker.name))
                .toList();
        faultyWorker.failsAllTasks = faultyMachine;
        for (int i = 0; i < failingJobs; i++) {
            cluster.failingJobs.add(id(2 + i));
            cluster.submitUntilAccepted(id(2 + i), 24, false, Map.of("urgency", "prod"));
        }
        cluster.runFor(40);
        if (newLeader) {
            cluster.leader().restartAfter(0.3);
        }
        cluster.runFor(60);
        assertTrue(
                cluster.workers.keySet().containsAll(healthyMachines),
                "machines on which only failing jobs fail are kept");
        assertEquals(
                !faultyMachine, cluster.workers.containsKey(faultyWorker.name), "only the faulty machine is returned");
        // Every task is started once, some of them as soon as machines become free, and then one task at a time.
        for (int i = 0; i < failingJobs; i++) {
            int starts = cluster.startsByJob.get(id(2 + i));
            assertTrue(starts <= 24 + 20, "starts of a failing job: " + starts);
        }
        for (int i = 0; i < failingJobs; i++) {
            assertEquals("withdrawn", cluster.leader().cancel(id(2 + i)).get("status"));
        }
        cluster.runUntilSettled(400);
        assertEquals(List.of(), cluster.violations());
    }

    /** A failing job, even a gang, neither blocks other work nor holds machines for itself, but it is still retried. */
    @ParameterizedTest(name = "{0} tasks")
    @CsvSource({"1", "4"})
    void aFailingJobIsRetriedFromTimeToTime(int tasks) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.capacity = 6;
        cluster.failingJobs.add(id(1));
        cluster.submitUntilAccepted(id(1), tasks, tasks > 1, Map.of("vcpus", 4.0));
        cluster.runFor(200);
        int startsBefore = cluster.startsByJob.get(id(1));
        cluster.runFor(200);
        int starts = cluster.startsByJob.get(id(1)) - startsBefore;
        assertTrue(starts >= tasks * 2 && starts <= tasks * 6, starts + " starts in 200 s");
        assertEquals("withdrawn", cluster.leader().cancel(id(1)).get("status"));
        cluster.submitUntilAccepted(id(2), 12, false);
        cluster.runUntilSettled(100);
        assertEquals(List.of(), cluster.violations());
    }

    /** Faulty machines do not make a healthy job count as failing: once one task succeeds anywhere, all of them go on. */
    @ParameterizedTest(name = "{0} of 8 machines faulty, gang {1}")
    @CsvSource({"3, false", "5, false", "3, true"})
    void aHealthyJobSurvivesFaultyMachines(int faultyCount, boolean gang) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.cloud.capacity = 8;
        cluster.taskDurationS = 5;
        cluster.submitUntilAccepted(id(1), 120, false, Map.of("dueS", 20.0));
        assertTrue(cluster.runUntil(60, () -> cluster.pollStatus(id(1), 5).equals("done")));
        List<SimulatedWorker> machines = List.copyOf(cluster.workers.values());
        machines.subList(0, Math.min(faultyCount, machines.size())).forEach(machine -> machine.failsAllTasks = true);
        cluster.submitUntilAccepted(id(2), gang ? 4 : 60, gang);
        cluster.submitUntilAccepted(id(3), gang ? 4 : 60, gang);
        cluster.runUntilSettled(150);
        assertEquals(List.of(), cluster.violations());
        // A gang may have avoided the faulty machines, and a machine that ran no task is not detected.
        assertTrue(
                gang || machines.subList(0, faultyCount).stream().allMatch(machine -> machine.terminated),
                "faulty machines are returned");
    }
}
