package org.mountlug.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.Fixtures;
import org.mountlug.JobSpecBuilder;
import org.mountlug.core.allocate.Allocator;
import org.mountlug.core.allocate.ReplicaStartTimes;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/** Tests allocation rounds: starting, reserving or skipping gangs, and the limits of teams, zones and machines. */
class AllocatorTest {
    private static final Resources WHOLE_GPU = new Resources(20, 2, 60);

    private static int runRound(Cluster cluster, double nowS) {
        return new Allocator(
                        cluster,
                        Fixtures.untrackedZones(cluster),
                        job -> job.spec.submittedMs(),
                        new ReplicaStartTimes(job -> 8, nowS),
                        nowS)
                .allocate();
    }

    @Test
    void fittingGangStartsAllTasksInOneAttempt() {
        Cluster cluster = Fixtures.cluster();
        Fixtures.addMachine(cluster, "n-1", "gpu", "a");
        Fixtures.addMachine(cluster, "n-2", "gpu", "a");
        Job gang = Fixtures.addJob(cluster, Fixtures.spec("wk-000001", true, 2, WHOLE_GPU, Priority.HIGH));
        assertEquals(2, runRound(cluster, 1));
        assertEquals(
                1,
                gang.placements.values().stream().map(p -> p.attempt).distinct().count());
    }

    /**
     * A request that fitted nowhere must not keep a different job from being tried: one that uses accelerators, is smaller
     * or may run in another zone.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({"uses an accelerator, 2, 1", "smaller request, 1, 0", "other zone, 2, 0", "same request, 2, 0"})
    void unplaceableRequestDoesNotBlockDifferentJobs(String difference, double cpus, double gpus) {
        Cluster cluster = Fixtures.cluster();
        Fixtures.addMachine(cluster, "n-1", "gpu", "a");
        Fixtures.addMachine(cluster, "n-2", "small", "a");
        Fixtures.addJob(cluster, Fixtures.spec("wk-000001", false, 1, new Resources(3, 0, 1), Priority.PROD));
        assertEquals(1, runRound(cluster, 1));
        // Both accelerators of machine n-1 are free, so all its CPUs are kept from CPU-only tasks.
        Fixtures.addJob(cluster, Fixtures.spec("wk-000002", false, 1, new Resources(2, 0, 1), Priority.HIGH));
        if (difference.equals("other zone")) {
            Fixtures.addMachine(cluster, "n-3", "small", "b");
        }
        Job job = Fixtures.addJob(
                cluster, Fixtures.spec("wk-000003", false, 1, new Resources(cpus, gpus, 1), Priority.IDLE));
        runRound(cluster, 2);
        assertEquals(difference.equals("same request") ? 0 : 1, job.placements.size());
    }

    @Test
    void gangThatFitsNeitherNowNorLaterReservesNothing() {
        Cluster cluster = Fixtures.cluster();
        Fixtures.addMachine(cluster, "n-1", "gpu", "a");
        Fixtures.addJob(cluster, Fixtures.spec("wk-000001", true, 2, WHOLE_GPU, Priority.HIGH));
        Job array = Fixtures.addJob(cluster, Fixtures.spec("wk-000002", false, 1, WHOLE_GPU, Priority.IDLE));
        assertEquals(1, runRound(cluster, 1));
        assertEquals(1, array.placements.size());
        assertTrue(cluster.reservations.isEmpty());
    }

    /** A gang that waits for releasing capacity must not lose the free capacity that some of its tasks found. */
    @Test
    void gangKeepsReservedFreeCapacityUntilTheRestIsReleased() {
        Cluster cluster = Fixtures.cluster();
        Fixtures.addMachine(cluster, "n-1", "gpu", "a");
        Fixtures.addMachine(cluster, "n-2", "gpu", "a");
        Job runningJob = Fixtures.addJob(cluster, Fixtures.spec("wk-000001", false, 1, WHOLE_GPU, Priority.IDLE));
        assertEquals(1, runRound(cluster, 1));
        Placement stoppingPlacement = runningJob.placements.get(0);
        stoppingPlacement.requestStop(4);
        Job gang = Fixtures.addJob(cluster, Fixtures.spec("wk-000002", true, 2, WHOLE_GPU, Priority.STANDARD));
        Job rivalJob = Fixtures.addJob(cluster, Fixtures.spec("wk-000003", false, 1, WHOLE_GPU, Priority.PROD));
        // The rival job is added after the gang's reservation and must not get it, despite its higher priority.
        cluster.jobs.remove("wk-000003");
        assertEquals(0, runRound(cluster, 2));
        assertEquals(2, cluster.reservations.get("wk-000002").size());
        cluster.jobs.put("wk-000003", rivalJob);
        assertEquals(0, runRound(cluster, 3));
        assertEquals(2, cluster.reservations.get("wk-000002").size());
        cluster.machines.get(stoppingPlacement.machine).placements.remove(stoppingPlacement.taskName());
        runningJob.placements.clear();
        cluster.jobs.remove("wk-000001");
        assertEquals(2, runRound(cluster, 4));
        assertEquals(2, gang.placements.size());
        assertTrue(cluster.reservations.isEmpty());
    }

    @Test
    void reservationOnAMissingMachineIsReplaced() {
        Cluster cluster = Fixtures.cluster();
        Fixtures.addMachine(cluster, "n-2", "gpu", "a");
        Job gang = Fixtures.addJob(cluster, Fixtures.spec("wk-000001", true, 1, WHOLE_GPU, Priority.HIGH));
        cluster.reservations.put("wk-000001", List.of(new Reservation(0, "n-9")));
        assertEquals(1, runRound(cluster, 1));
        assertEquals("n-2", gang.placements.get(0).machine);
    }

    @ParameterizedTest(name = "{0}: oneZone {1}, spreadAcrossZones {2}")
    @CsvSource({"no zone rule, false, false, 5", "one zone, true, false, 4", "spread across zones, false, true, 4"})
    void arrayFollowsItsZoneRules(String name, boolean oneZone, boolean spreadAcrossZones, int placed) {
        Cluster cluster = Fixtures.cluster();
        Fixtures.addMachine(cluster, "n-1", "small", "a");
        Fixtures.addMachine(cluster, "n-2", "small", "a");
        Fixtures.addMachine(cluster, "n-3", "small", "b");
        Job job = Fixtures.addJob(
                cluster, Fixtures.withZoneRules(Fixtures.array("wk-000001", 5), oneZone, spreadAcrossZones));
        // Each machine holds two tasks. When spread, three of five may be in one zone, so all five fit.
        int placedCount = runRound(cluster, 1);
        assertEquals(spreadAcrossZones ? 5 : placed, placedCount);
        if (spreadAcrossZones) {
            assertTrue(job.placedTasksIn("a") <= 3);
        }
        if (oneZone) {
            assertEquals(
                    1,
                    job.placements.values().stream().map(p -> p.zone).distinct().count());
        }
    }

    @Test
    void teamLimitCountsAttemptsThatMayStillRun() {
        Cluster cluster = Fixtures.cluster(new Team("t", 0, 4, 0, 0, 1));
        for (int i = 1; i <= 3; i++) {
            Fixtures.addMachine(cluster, "n-" + i, "small", "a");
        }
        Job job = Fixtures.addJob(cluster, Fixtures.array("wk-000001", 6));
        assertEquals(2, runRound(cluster, 1));
        // Without a report in this term the machine's tasks may still run.
        cluster.machines.get(job.placements.get(0).machine).tokenConfirmed = false;
        assertEquals(0, runRound(cluster, 2));
    }

    /** An array bound to one zone must not start in another one while attempts may still run in the first. */
    @Test
    void attemptsThatMayStillRunKeepTheirZoneAndAreNotRepeated() {
        Cluster cluster = Fixtures.cluster();
        Fixtures.addMachine(cluster, "n-1", "small", "a");
        Job job = Fixtures.addJob(cluster, Fixtures.withZoneRules(Fixtures.array("wk-000001", 3), true, false));
        assertEquals(2, runRound(cluster, 1));
        cluster.machines.get("n-1").tokenConfirmed = false;
        Fixtures.addMachine(cluster, "n-2", "small", "b");
        assertEquals(0, runRound(cluster, 2));
        assertEquals(2, job.placements.size());
    }

    /** The spread over zones and machines and the team's limit must count replicas that may still run on a silent machine. */
    @ParameterizedTest(name = "silent machine {0}, team''s limit {1} CPUs: {2} placed")
    @CsvSource({", 0, 3", "n-1, 0, 3", "n-3, 0, 2", ", 8, 1"})
    void replicasAreSpreadOverZonesAndMachines(String silentMachine, double maxCpus, int placed) {
        Cluster cluster = Fixtures.cluster(new Team("t", 0, maxCpus, 0, 0, 1));
        for (int i = 1; i <= 4; i++) {
            Fixtures.addMachine(cluster, "n-" + i, "small", i < 3 ? "a" : "b");
        }
        JobSpec spec = Fixtures.withZoneRules(
                Fixtures.spec("wk-000001", JobType.SERVICE, 6, new Resources(2, 0, 8), Priority.PROD), false, true);
        Job job = Fixtures.addJob(cluster, spec);
        for (int replica = 0; replica < 3; replica++) {
            cluster.place(job, replica, 1, cluster.machines.get(replica < 2 ? "n-1" : "n-2"), 0);
        }
        if (silentMachine != null) {
            cluster.machines.get(silentMachine).tokenConfirmed = false;
        }
        assertEquals(placed, runRound(cluster, 1));
        assertTrue(job.placedTasksIn("a") <= 3 && job.placedTasksIn("b") <= 3);
        for (Machine machine : cluster.machines.values()) {
            assertTrue(machine.placements.size() <= 2);
        }
    }

    /** Replicas must leave the CPUs that accelerator work needs on an accelerator machine, even while the machine is empty. */
    @ParameterizedTest(name = "accelerator tasks with {0} CPUs: {1} replicas placed")
    @CsvSource({"21, 3", "24, 0", "0, 0"})
    void replicasLeaveTheCpusThatAcceleratorWorkNeeds(double acceleratorTaskCpus, int placed) {
        Cluster cluster = Fixtures.cluster();
        Fixtures.addMachine(cluster, "n-1", "gpu", "a");
        if (acceleratorTaskCpus > 0) {
            Fixtures.addJob(
                    cluster,
                    Fixtures.spec("wk-000001", true, 2, new Resources(acceleratorTaskCpus, 2, 77), Priority.HIGH));
        }
        Job job = Fixtures.addJob(
                cluster, Fixtures.spec("wk-000002", JobType.SERVICE, 6, new Resources(1, 0, 2), Priority.PROD));
        runRound(cluster, 5);
        assertEquals(placed, job.placements.size());
    }

    @Test
    void teamsTakeTurns() {
        Cluster cluster = Fixtures.cluster(new Team("t", 0, 0, 0, 0, 1), new Team("u", 0, 0, 0, 0, 1));
        Fixtures.addMachine(cluster, "n-1", "small", "a");
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 1));
        Fixtures.addJob(cluster, Fixtures.array("wk-000002", 1));
        var spec = Fixtures.array("wk-000003", 1);
        Job jobOfOtherTeam = Fixtures.addJob(
                cluster,
                new JobSpecBuilder("wk-000003")
                        .team("u")
                        .request(spec.request())
                        .priority(spec.priority())
                        .submittedMs(99)
                        .build());
        assertEquals(2, runRound(cluster, 1));
        assertFalse(jobOfOtherTeam.placements.isEmpty());
    }
}
