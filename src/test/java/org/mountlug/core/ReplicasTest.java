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

/** What is decided about replicas, which never end: where they go, when they move, and what they are worth. */
class ReplicasTest {
    private static final Resources NEED = new Resources(1, 0, 2);

    private static Job service(Cluster c, int replicas) {
        return Fixtures.addJob(c, Fixtures.spec("wk-000009", JobType.SERVICE, replicas, NEED, Priority.PROD));
    }

    private static Scaler scaler(Cluster c) {
        return new Scaler(c, Fixtures.untrackedZones(c), new Objectives(), 10, 2, 20, 1.15);
    }

    private static ReplicaStartTimes times(double nowS) {
        return new ReplicaStartTimes(j -> 8, nowS);
    }

    /** Whatever a replica ends with, it is wanted again, at once the first time; the next ends slow it down. */
    @ParameterizedTest(name = "{0} after {1} s, {2} times: wanted again after {3} s")
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
    void aReplicaThatEndedIsWantedAgain(ExitCause cause, double ranS, int times, double afterS) {
        Cluster c = Fixtures.cluster();
        Machine m = Fixtures.addMachine(c, "n-1", "small", "a");
        Job j = service(c, 1);
        double now = 0;
        for (int i = 1; i <= times; i++) {
            Placement p = c.place(j, 0, ++j.lastAttempt, m, now);
            Fixtures.markPersisted(j);
            c.handleReport(Fixtures.report("n-1", "small", "a", 1, 10 * i, Fixtures.TOKEN), true, now);
            c.handleReport(
                    Fixtures.report(
                            "n-1",
                            "small",
                            "a",
                            1,
                            10 * i + 1,
                            Fixtures.TOKEN,
                            Fixtures.attemptStatus("wk-000009", 0, p.attempt, AttemptState.RUNNING, ExitCause.NONE)),
                    true,
                    now);
            now += ranS;
            c.handleReport(
                    Fixtures.report(
                            "n-1",
                            "small",
                            "a",
                            1,
                            10 * i + 2,
                            Fixtures.TOKEN,
                            Fixtures.attemptStatus("wk-000009", 0, p.attempt, AttemptState.EXITED, cause)),
                    true,
                    now);
            assertTrue(j.placements.isEmpty() && j.doneTasks.isEmpty() && !j.isFinished());
        }
        assertTrue(j.needsPlacement(0, now + afterS));
        assertTrue(afterS == 0 || !j.needsPlacement(0, now + afterS - 0.1));
    }

    /** Room for a replica is made at the cost of what ends anyway, not of accelerator work nor of its equals. */
    @ParameterizedTest(name = "{0} {1} of {2} CPUs and {3} GPUs on {4}: stopped {5}")
    @CsvSource({
        "ARRAY, HIGH, 4, 0, small, true",
        "ARRAY, PROD, 4, 0, small, false",
        "SERVICE, HIGH, 4, 0, small, true",
        "GANG, STANDARD, 24, 2, gpu, false",
        "ARRAY, STANDARD, 12, 1, gpu, false"
    })
    void whoMakesRoomForAReplica(JobType shape, Priority u, double cpus, double gpus, String type, boolean stopped) {
        Cluster c = Fixtures.cluster();
        Fixtures.addMachine(c, "n-1", type, "a");
        Job other = Fixtures.addJob(
                c, Fixtures.spec("wk-000001", shape, gpus == 1 ? 2 : 1, new Resources(cpus, gpus, 8), u));
        new Allocator(c, Fixtures.untrackedZones(c), j -> 0, times(5), 5).allocate();
        assertFalse(other.placements.isEmpty());
        Job j = service(c, 2);
        Allocator a = new Allocator(c, Fixtures.untrackedZones(c), x -> 0, times(6), 6);
        a.allocate();
        new Preemptor(c).preemptFor(List.of(j), a.machineViews(), a.usage(), times(6), 6);
        assertEquals(stopped, other.placements.values().stream().anyMatch(p -> p.stopping));
    }

    /** A silent machine is given up early for its replicas only, and only if the silence is its own. */
    @ParameterizedTest(
            name = "silent {0} s, {1} replicas, {2} tasks that ran {3} s, others silent {4}, woke at {5}: returned {6}")
    @CsvSource({
        "4, 2, 0, 0, 0, -100, false",
        "6, 2, 0, 0, 0, -100, true",
        "6, 0, 1, 1, 0, -100, false",
        "6, 1, 1, 90, 0, -100, false",
        "6, 2, 0, 0, 4, -100, false",
        "6, 2, 0, 0, 0, 90, false"
    })
    void aSilentMachineWithReplicas(
            double silent, int replicas, int tasks, double ran, int others, double woke, boolean returned) {
        Cluster c = Fixtures.cluster();
        c.restartListening(woke);
        double now = 100;
        for (int i = 0; i < 12; i++) {
            Fixtures.addMachine(c, "n-" + (10 + i), "small", "a").lastReportS = i < others ? now - silent : now;
        }
        Machine m = Fixtures.addMachine(c, "n-1", "small", "a");
        m.lastReportS = now - silent;
        Job j = service(c, Math.max(1, replicas));
        for (int t = 0; t < replicas; t++) {
            c.place(j, t, 1, m, 0);
        }
        Job k = Fixtures.addJob(c, Fixtures.spec("wk-000002", JobType.ARRAY, 1, new Resources(2, 0, 8), Priority.HIGH));
        for (int t = 0; t < tasks; t++) {
            c.place(k, t, 1, m, 0).runningSinceS = now - ran;
        }
        assertEquals(returned, scaler(c).planReturns(now, 0).contains("n-1"));
    }

    /** From a machine that is about to go replicas move while there is room elsewhere, never most of them at a time. */
    @ParameterizedTest(name = "room elsewhere {0}, {1} s left: {2} of 4 stop")
    @CsvSource({"true, 60, 2", "false, 60, 0", "false, 1, 4"})
    void replicasMoveBeforeTheirMachineGoes(boolean room, double left, int stopped) {
        Cluster c = Fixtures.cluster();
        Machine m = Fixtures.addMachine(c, "n-1", "small", "a");
        if (room) {
            Fixtures.addMachine(c, "n-2", "small", "a");
        }
        Job j = service(c, 4);
        for (int t = 0; t < 4; t++) {
            c.place(j, t, 1, m, 0);
        }
        m.reclaimAtS = 10 + left;
        Scaler s = scaler(c);
        s.drain(10);
        assertEquals(
                stopped, j.placements.values().stream().filter(p -> p.stopping).count());
        // What has to move, and what has no place yet, needs a machine as much as what waits.
        if (!room) {
            assertFalse(s.planRentals(10, 0).isEmpty());
        }
    }

    /** Room for the next services is rented and kept by what was lately asked for, and for nothing else. */
    @ParameterizedTest(name = "{0} replicas {1} s ago, {2} machines idle: rents {3}, returns {4}")
    @CsvSource({"0, 5, 3, false, 3", "4, 5, 3, false, 2", "4, 500, 3, false, 3", "16, 5, 3, true, 0"})
    void roomForServicesToCome(int replicas, double agoS, int idle, boolean rents, int returned) {
        Cluster c = Fixtures.cluster();
        for (int i = 0; i < idle; i++) {
            Fixtures.addMachine(c, "n-" + (10 + i), "small", "a");
        }
        if (replicas > 0) {
            Machine m = Fixtures.addMachine(c, "n-1", "gpu", "a");
            Job j = service(c, replicas);
            for (int t = 0; t < replicas; t++) {
                c.place(j, t, 1, m, 0);
            }
        }
        for (Machine m : c.machines.values()) {
            m.lastReportS = 90;
        }
        Scaler s = scaler(c);
        assertEquals(rents, !s.planRentals(90, agoS).isEmpty());
        assertEquals(returned, s.planReturns(90, agoS).size());
    }

    /** A service that never ends is counted on by nobody: its machine is not held for a gang, nor given away ahead. */
    @Test
    void nothingCountsOnAReplicaToEnd() {
        Cluster c = Fixtures.cluster();
        Machine m = Fixtures.addMachine(c, "n-1", "gpu", "a");
        Job j = Fixtures.addJob(
                c, Fixtures.spec("wk-000009", JobType.SERVICE, 1, new Resources(20, 2, 60), Priority.PROD));
        c.place(j, 0, 1, m, 0).runningSinceS = 0;
        Fixtures.addJob(c, Fixtures.spec("wk-000001", JobType.GANG, 1, new Resources(20, 2, 60), Priority.PROD));
        Fixtures.addJob(c, Fixtures.spec("wk-000002", JobType.ARRAY, 4, new Resources(20, 0, 60), Priority.HIGH));
        new Allocator(c, Fixtures.untrackedZones(c), x -> 0, times(5000), 5000).allocate();
        assertEquals(null, m.heldForGang);
        assertEquals(1, m.placements.size());
    }

    /** Where an image would make every cheap machine late, one replica warms such a machine and the rest start at once. */
    @Test
    void oneReplicaWarmsACheapMachine() {
        Cluster c = Fixtures.cluster(new Team("t", 0, 0, 0, 0, 1));
        c.setMachineTypes(List.of(new org.mountlug.core.model.MachineType(
                "small", new Resources(16, 0, 64), 50, 0.1, 0.2, 0.1, 30, List.of("a"))));
        Fixtures.addMachine(c, "n-1", "small", "a");
        Fixtures.addMachine(c, "n-2", "gpu", "a");
        Fixtures.addJob(c, Fixtures.spec("wk-000001", true, 2, new Resources(18, 2, 77), Priority.HIGH));
        Job j = service(c, 6);
        new Allocator(c, Fixtures.untrackedZones(c), x -> 0, times(5), 5).allocate();
        assertEquals(
                1,
                j.placements.values().stream()
                        .filter(p -> p.machine.equals("n-1"))
                        .count());
        assertEquals(
                5,
                j.placements.values().stream()
                        .filter(p -> p.machine.equals("n-2"))
                        .count());
        c.machines.get("n-1").cachedImages.add("img");
        Job k = Fixtures.addJob(c, Fixtures.spec("wk-000010", JobType.SERVICE, 6, NEED, Priority.PROD));
        k.waitingSinceS = 5;
        new Allocator(c, Fixtures.untrackedZones(c), x -> 0, times(6), 6).allocate();
        assertEquals(
                6,
                k.placements.values().stream()
                        .filter(p -> p.machine.equals("n-1"))
                        .count());
    }
}
