package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Jobs that were submitted with a mistake and fail on every machine, beside machines that fail every job. */
class FailingJobsTest {
    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    /**
     * Several failing jobs at once look, on each machine, like different jobs that fail in a row. Recorded days lost over a
     * hundred machines to it, each replaced by a rented one.
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
    void failingJobsCondemnNoMachine(int failingJobs, boolean faultyMachine, boolean newLeader) {
        SimulatedCluster world = new SimulatedCluster(3);
        world.cloud.capacity = 8;
        world.taskDurationS = 5;
        world.submitUntilAccepted(id(1), 1200, false);
        assertTrue(world.runUntil(60, () -> world.workers.size() == 8));
        world.runFor(8);
        SimulatedCluster.Worker bad = world.workers.values().iterator().next();
        List<String> good = world.workers.keySet().stream()
                .filter(name -> !name.equals(bad.name))
                .toList();
        bad.failsAllTasks = faultyMachine;
        for (int i = 0; i < failingJobs; i++) {
            world.failingJobs.add(id(2 + i));
            world.submitUntilAccepted(id(2 + i), 24, false, Map.of("urgency", "prod"));
        }
        world.runFor(40);
        if (newLeader) {
            world.leader().restartAfter(0.3);
        }
        world.runFor(60);
        assertTrue(world.workers.keySet().containsAll(good), "machines that fail nothing else are kept");
        assertEquals(!faultyMachine, world.workers.containsKey(bad.name), "the faulty one is found");
        // A first start of every task, some on machines that were not free at first, then one at a time.
        for (int i = 0; i < failingJobs; i++) {
            int starts = world.startsByJob.get(id(2 + i));
            assertTrue(starts <= 24 + 20, "starts of a failing job: " + starts);
        }
        for (int i = 0; i < failingJobs; i++) {
            assertEquals("withdrawn", world.leader().cancel(id(2 + i)).get("status"));
        }
        world.runUntilSettled(400);
        assertEquals(List.of(), world.violations());
    }

    /** A failing gang neither stops others' work nor holds machines for itself, but it is still tried. */
    @ParameterizedTest(name = "gang of {0}")
    @CsvSource({"1", "4"})
    void aFailingJobIsTriedNowAndThen(int tasks) {
        SimulatedCluster world = new SimulatedCluster(3);
        world.cloud.capacity = 6;
        world.failingJobs.add(id(1));
        world.submitUntilAccepted(id(1), tasks, tasks > 1, Map.of("vcpus", 4.0));
        world.runFor(200);
        int before = world.startsByJob.get(id(1));
        world.runFor(200);
        int starts = world.startsByJob.get(id(1)) - before;
        assertTrue(starts >= tasks * 2 && starts <= tasks * 6, starts + " starts in 200 s");
        assertEquals("withdrawn", world.leader().cancel(id(1)).get("status"));
        world.submitUntilAccepted(id(2), 12, false);
        world.runUntilSettled(100);
        assertEquals(List.of(), world.violations());
    }

    /** Faulty machines make no good job a failing one: once it works anywhere, all of it goes on. */
    @ParameterizedTest(name = "{0} of 8 machines faulty, gang {1}")
    @CsvSource({"3, false", "5, false", "3, true"})
    void aGoodJobOutlivesFaultyMachines(int faulty, boolean gang) {
        SimulatedCluster world = new SimulatedCluster(3);
        world.cloud.capacity = 8;
        world.taskDurationS = 5;
        world.submitUntilAccepted(id(1), 120, false, Map.of("dueS", 20.0));
        assertTrue(world.runUntil(60, () -> world.pollStatus(id(1), 5).equals("done")));
        List<SimulatedCluster.Worker> machines = List.copyOf(world.workers.values());
        machines.subList(0, Math.min(faulty, machines.size())).forEach(machine -> machine.failsAllTasks = true);
        world.submitUntilAccepted(id(2), gang ? 4 : 60, gang);
        world.submitUntilAccepted(id(3), gang ? 4 : 60, gang);
        world.runUntilSettled(150);
        assertEquals(List.of(), world.violations());
        // A gang may have gone round them, and what ran nothing was not found out.
        assertTrue(
                gang || machines.subList(0, faulty).stream().allMatch(machine -> machine.terminated),
                "faulty machines go");
    }
}
