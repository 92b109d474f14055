package org.mountlug.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.Fixtures;
import org.mountlug.core.allocate.Allocator;
import org.mountlug.core.allocate.ReplicaStartTimes;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.Objectives;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.preempt.Preemptor;
import org.mountlug.core.scale.Scaler;

/** Tests decisions about replicas of services, which never complete: placement, restarts, preemption, moves and rentals. */
class ReplicasTest {
    private static final Resources REQUEST = new Resources(1, 0, 2);

    private static Job addService(Cluster cluster, int replicas) {
        return Fixtures.addJob(cluster, Fixtures.spec("wk-000009", JobType.SERVICE, replicas, REQUEST, Priority.PROD));
    }

    private static Scaler newScaler(Cluster cluster) {
        return new Scaler(cluster, Fixtures.untrackedZones(cluster), new Objectives(), 10, 2, 20, 1.15);
    }

    private static ReplicaStartTimes startTimes(double nowS) {
        return new ReplicaStartTimes(j -> 8, nowS);
    }

    /**
     * A replica is started again whatever the cause of its exit. The first exit causes no delay, repeated ones after a
     * short run cause a growing delay. A replica that did not start for lack of capacity always waits.
     */
    @ParameterizedTest(name = "{0} after {1} s, {2} times: pending again after {3} s")
    @CsvSource({
        "DONE, 1, 1, 0",
        "ERROR, 1, 1, 0",
        "STOPPED, 1, 4, 0",
        "ERROR, 1, 2, 2",
        "DONE, 1, 4, 8",
        "ERROR, 1, 9, 60",
        "ERROR, 40, 9, 0",
        "FULL, 1, 1, 2"
    })
    void endedReplicaIsPendingAgain(ExitCause cause, double ranS, int exits, double delayS) {
        Cluster cluster = Fixtures.cluster();
        Machine machine = Fixtures.addMachine(cluster, "n-1", "small", "a");
        Job job = addService(cluster, 1);
        double nowS = 0;
        for (int i = 1; i <= exits; i++) {
            Placement placement = cluster.place(job, 0, ++job.lastAttempt, machine, nowS);
            Fixtures.markPersisted(job);
            cluster.handleReport(Fixtures.report("n-1", "small", "a", 1, 10 * i, Fixtures.TOKEN), true, nowS);
            cluster.handleReport(
                    Fixtures.report(
                            "n-1",
                            "small",
                            "a",
                            1,
                            10 * i + 1,
                            Fixtures.TOKEN,
                            Fixtures.attemptStatus(
                                    "wk-000009", 0, placement.attempt, AttemptState.RUNNING, ExitCause.NONE)),
                    true,
                    nowS);
            nowS += ranS;
            cluster.handleReport(
                    Fixtures.report(
                            "n-1",
                            "small",
                            "a",
                            1,
                            10 * i + 2,
                            Fixtures.TOKEN,
                            Fixtures.attemptStatus("wk-000009", 0, placement.attempt, AttemptState.EXITED, cause)),
                    true,
                    nowS);
            assertTrue(job.placements.isEmpty() && job.doneTasks.isEmpty() && !job.isFinished());
        }
        assertTrue(job.needsPlacement(0, nowS + delayS));
        assertTrue(delayS == 0 || !job.needsPlacement(0, nowS + delayS - 0.1));
    }

    /** For a replica, CPU-only work of a lower priority is stopped, but neither accelerator work nor work of its priority. */
    @ParameterizedTest(name = "{0} {1} of {2} CPUs and {3} GPUs on {4}: stopped {5}")
    @CsvSource({
        "ARRAY, HIGH, 4, 0, small, true",
        "ARRAY, PROD, 4, 0, small, false",
        "SERVICE, HIGH, 4, 0, small, true",
        "GANG, STANDARD, 24, 2, gpu, false",
        "ARRAY, STANDARD, 12, 1, gpu, false"
    })
    void onlyCpuWorkOfLowerPriorityIsStoppedForAReplica(
            JobType jobType, Priority priority, double cpus, double gpus, String machineType, boolean stopped) {
        Cluster cluster = Fixtures.cluster();
        Fixtures.addMachine(cluster, "n-1", machineType, "a");
        Job runningJob = Fixtures.addJob(
                cluster,
                Fixtures.spec("wk-000001", jobType, gpus == 1 ? 2 : 1, new Resources(cpus, gpus, 8), priority));
        new Allocator(cluster, Fixtures.untrackedZones(cluster), x -> 0, startTimes(5), 5).allocate();
        assertFalse(runningJob.placements.isEmpty());
        Job service = addService(cluster, 2);
        Allocator allocator = new Allocator(cluster, Fixtures.untrackedZones(cluster), x -> 0, startTimes(6), 6);
        allocator.allocate();
        new Preemptor(cluster)
                .preemptFor(List.of(service), allocator.machineViews(), allocator.usageByTeam(), startTimes(6), 6);
        assertEquals(stopped, runningJob.placements.values().stream().anyMatch(p -> p.stopping));
    }

    /**
     * A machine that falls silent is returned early so that its replicas start elsewhere, unless other work would lose more
     * by it, other machines are silent too, or the controller itself was paused.
     */
    @ParameterizedTest(
            name =
                    "silent for {0} s, {1} replicas, {2} tasks that ran {3} s, {4} others silent, paused until {5}: returned {6}")
    @CsvSource({
        "4, 2, 0, 0, 0, -100, false",
        "6, 2, 0, 0, 0, -100, true",
        "6, 0, 1, 1, 0, -100, false",
        "6, 1, 1, 90, 0, -100, false",
        "6, 2, 0, 0, 4, -100, false",
        "6, 2, 0, 0, 0, 90, false"
    })
    void silentMachineIsReturnedEarlyForItsReplicas(
            double silentS,
            int replicas,
            int tasks,
            double ranS,
            int otherSilentMachines,
            double listeningSinceS,
            boolean returned) {
        Cluster cluster = Fixtures.cluster();
        cluster.restartListening(listeningSinceS);
        double nowS = 100;
        for (int i = 0; i < 12; i++) {
            Fixtures.addMachine(cluster, "n-" + (10 + i), "small", "a").lastReportS =
                    i < otherSilentMachines ? nowS - silentS : nowS;
        }
        Machine machine = Fixtures.addMachine(cluster, "n-1", "small", "a");
        machine.lastReportS = nowS - silentS;
        Job service = addService(cluster, Math.max(1, replicas));
        for (int task = 0; task < replicas; task++) {
            cluster.place(service, task, 1, machine, 0);
        }
        Job array = Fixtures.addJob(
                cluster, Fixtures.spec("wk-000002", JobType.ARRAY, 1, new Resources(2, 0, 8), Priority.HIGH));
        for (int task = 0; task < tasks; task++) {
            cluster.place(array, task, 1, machine, 0).runningSinceS = nowS - ranS;
        }
        assertEquals(returned, newScaler(cluster).planReturns(nowS, 0).contains("n-1"));
    }

    /**
     * Replicas on a machine that will be reclaimed are stopped while there is capacity elsewhere, at most half of a service
     * at a time. Without capacity elsewhere they are stopped only just before the machine is reclaimed.
     */
    @ParameterizedTest(name = "capacity elsewhere {0}, reclaimed in {1} s: {2} of 4 stopped")
    @CsvSource({"true, 60, 2", "false, 60, 0", "false, 1, 4"})
    void replicasMoveBeforeTheirMachineIsReclaimed(boolean capacityElsewhere, double remainingS, int stopped) {
        Cluster cluster = Fixtures.cluster();
        Machine machine = Fixtures.addMachine(cluster, "n-1", "small", "a");
        if (capacityElsewhere) {
            Fixtures.addMachine(cluster, "n-2", "small", "a");
        }
        Job service = addService(cluster, 4);
        for (int replica = 0; replica < 4; replica++) {
            cluster.place(service, replica, 1, machine, 0);
        }
        machine.reclaimAtS = 10 + remainingS;
        Scaler scaler = newScaler(cluster);
        scaler.drain(10);
        assertEquals(
                stopped,
                service.placements.values().stream().filter(p -> p.stopping).count());
        // Replicas that have to move need a machine as much as pending ones, so one is rented.
        if (!capacityElsewhere) {
            assertFalse(scaler.planRentals(10, 0).isEmpty());
        }
    }

    /** Capacity for expected services is rented and kept only after recent submissions of services, and in proportion. */
    @ParameterizedTest(name = "{0} replicas submitted {1} s ago, {2} idle machines: rents {3}, returns {4}")
    @CsvSource({"0, 5, 3, false, 3", "4, 5, 3, false, 2", "4, 500, 3, false, 3", "16, 5, 3, true, 0"})
    void capacityIsKeptForExpectedServices(
            int replicas, double submittedAgoS, int idleMachines, boolean rents, int returned) {
        Cluster cluster = Fixtures.cluster();
        for (int i = 0; i < idleMachines; i++) {
            Fixtures.addMachine(cluster, "n-" + (10 + i), "small", "a");
        }
        if (replicas > 0) {
            Machine machine = Fixtures.addMachine(cluster, "n-1", "gpu", "a");
            Job service = addService(cluster, replicas);
            for (int replica = 0; replica < replicas; replica++) {
                cluster.place(service, replica, 1, machine, 0);
            }
        }
        for (Machine machine : cluster.machines.values()) {
            machine.lastReportS = 90;
        }
        Scaler scaler = newScaler(cluster);
        assertEquals(rents, !scaler.planRentals(90, submittedAgoS).isEmpty());
        assertEquals(returned, scaler.planReturns(90, submittedAgoS).size());
    }

    /** A replica never completes, so its machine is not held for a gang and no standby is placed on it. */
    @Test
    void replicasAreNotExpectedToEnd() {
        Cluster cluster = Fixtures.cluster();
        Machine machine = Fixtures.addMachine(cluster, "n-1", "gpu", "a");
        Job service = Fixtures.addJob(
                cluster, Fixtures.spec("wk-000009", JobType.SERVICE, 1, new Resources(20, 2, 60), Priority.PROD));
        cluster.place(service, 0, 1, machine, 0).runningSinceS = 0;
        Fixtures.addJob(cluster, Fixtures.spec("wk-000001", JobType.GANG, 1, new Resources(20, 2, 60), Priority.PROD));
        Fixtures.addJob(cluster, Fixtures.spec("wk-000002", JobType.ARRAY, 4, new Resources(20, 0, 60), Priority.HIGH));
        new Allocator(cluster, Fixtures.untrackedZones(cluster), x -> 0, startTimes(5000), 5000).allocate();
        assertEquals(null, machine.heldForGang);
        assertEquals(1, machine.placements.size());
    }

    /**
     * If fetching an image would make replicas late on every CPU machine, one replica fetches it there and the others start
     * on accelerator machines; a later service then starts on the CPU machine.
     */
    @Test
    void oneReplicaFetchesTheImageToACpuMachine() {
        Cluster cluster = Fixtures.cluster(new Team("t", 0, 0, 0, 0, 1));
        cluster.setMachineTypes(List.of(new org.mountlug.core.model.MachineType(
                "small", new Resources(16, 0, 64), 50, 0.1, 0.2, 0.1, 30, List.of("a"))));
        Fixtures.addMachine(cluster, "n-1", "small", "a");
        Fixtures.addMachine(cluster, "n-2", "gpu", "a");
        Fixtures.addJob(cluster, Fixtures.spec("wk-000001", true, 2, new Resources(18, 2, 77), Priority.HIGH));
        Job firstService = addService(cluster, 6);
        new Allocator(cluster, Fixtures.untrackedZones(cluster), x -> 0, startTimes(5), 5).allocate();
        assertEquals(
                1,
                firstService.placements.values().stream()
                        .filter(p -> p.machine.equals("n-1"))
                        .count());
        assertEquals(
                5,
                firstService.placements.values().stream()
                        .filter(p -> p.machine.equals("n-2"))
                        .count());
        cluster.machines.get("n-1").cachedImages.add("img");
        Job secondService =
                Fixtures.addJob(cluster, Fixtures.spec("wk-000010", JobType.SERVICE, 6, REQUEST, Priority.PROD));
        secondService.waitingSinceS = 5;
        new Allocator(cluster, Fixtures.untrackedZones(cluster), x -> 0, startTimes(6), 6).allocate();
        assertEquals(
                6,
                secondService.placements.values().stream()
                        .filter(p -> p.machine.equals("n-1"))
                        .count());
    }
}
