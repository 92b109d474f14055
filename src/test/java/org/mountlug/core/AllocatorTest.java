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

/** The design's round: ready, pipelined or discarded; reservations that last; limits and zones. */
class AllocatorTest {
    private static final Resources WHOLE_GPU = new Resources(20, 2, 60);

    private static int round(Cluster c, double now) {
        return new Allocator(
                        c,
                        Fixtures.untrackedZones(c),
                        j -> j.spec.submittedMs(),
                        new ReplicaStartTimes(j -> 8, now),
                        now)
                .allocate();
    }

    @Test
    void aReadyGangStartsWhole() {
        Cluster c = Fixtures.cluster();
        Fixtures.addMachine(c, "n-1", "gpu", "a");
        Fixtures.addMachine(c, "n-2", "gpu", "a");
        Job g = Fixtures.addJob(c, Fixtures.spec("wk-000001", true, 2, WHOLE_GPU, Priority.HIGH));
        assertEquals(2, round(c, 1));
        assertEquals(
                1, g.placements.values().stream().map(p -> p.attempt).distinct().count());
    }

    /**
     * What found no room says nothing of jobs under other rules: work without accelerators gets a part of their machines
     * only, other zones and overflowing work have room of their own, and less may still fit.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({"accelerators, 2, 1", "smaller, 1, 0", "other zone, 2, 0", "the same, 2, 0"})
    void aRefusalHoldsForTheLikeAlone(String second, double cpus, double gpus) {
        Cluster c = Fixtures.cluster();
        Fixtures.addMachine(c, "n-1", "gpu", "a");
        Fixtures.addMachine(c, "n-2", "small", "a");
        Fixtures.addJob(c, Fixtures.spec("wk-000001", false, 1, new Resources(3, 0, 1), Priority.PROD));
        assertEquals(1, round(c, 1));
        // Two tasks of whole accelerators leave a gpu machine's rest to nobody without one.
        Fixtures.addJob(c, Fixtures.spec("wk-000002", false, 1, new Resources(2, 0, 1), Priority.HIGH));
        if (second.equals("other zone")) {
            Fixtures.addMachine(c, "n-3", "small", "b");
        }
        Job job = Fixtures.addJob(c, Fixtures.spec("wk-000003", false, 1, new Resources(cpus, gpus, 1), Priority.IDLE));
        round(c, 2);
        assertEquals(second.equals("the same") ? 0 : 1, job.placements.size());
    }

    @Test
    void aGangThatFitsNeitherNowNorSoonLeavesNoTrace() {
        Cluster c = Fixtures.cluster();
        Fixtures.addMachine(c, "n-1", "gpu", "a");
        Fixtures.addJob(c, Fixtures.spec("wk-000001", true, 2, WHOLE_GPU, Priority.HIGH));
        Job small = Fixtures.addJob(c, Fixtures.spec("wk-000002", false, 1, WHOLE_GPU, Priority.IDLE));
        assertEquals(1, round(c, 1));
        assertEquals(1, small.placements.size());
        assertTrue(c.reservations.isEmpty());
    }

    @Test
    void aPipelinedGangKeepsIdleRoomAndGoesFirstWhenTheRestComesFree() {
        Cluster c = Fixtures.cluster();
        Fixtures.addMachine(c, "n-1", "gpu", "a");
        Fixtures.addMachine(c, "n-2", "gpu", "a");
        Job old = Fixtures.addJob(c, Fixtures.spec("wk-000001", false, 1, WHOLE_GPU, Priority.IDLE));
        assertEquals(1, round(c, 1));
        Placement p = old.placements.get(0);
        p.requestStop(4);
        Job g = Fixtures.addJob(c, Fixtures.spec("wk-000002", true, 2, WHOLE_GPU, Priority.STANDARD));
        Job rival = Fixtures.addJob(c, Fixtures.spec("wk-000003", false, 1, WHOLE_GPU, Priority.PROD));
        // The rival comes later: what the gang has reserved is not taken, not even by a higher priority.
        c.jobs.remove("wk-000003");
        assertEquals(0, round(c, 2));
        assertEquals(2, c.reservations.get("wk-000002").size());
        c.jobs.put("wk-000003", rival);
        assertEquals(0, round(c, 3));
        assertEquals(2, c.reservations.get("wk-000002").size());
        c.machines.get(p.machine).placements.remove(p.taskName());
        old.placements.clear();
        c.jobs.remove("wk-000001");
        assertEquals(2, round(c, 4));
        assertEquals(2, g.placements.size());
        assertTrue(c.reservations.isEmpty());
    }

    @Test
    void aReservationOnALostMachineIsDroppedAndScannedAgain() {
        Cluster c = Fixtures.cluster();
        Fixtures.addMachine(c, "n-2", "gpu", "a");
        Job g = Fixtures.addJob(c, Fixtures.spec("wk-000001", true, 1, WHOLE_GPU, Priority.HIGH));
        c.reservations.put("wk-000001", List.of(new Reservation(0, "n-9")));
        assertEquals(1, round(c, 1));
        assertEquals("n-2", g.placements.get(0).machine);
    }

    @ParameterizedTest(name = "{0}: oneZone {1}, apart {2} -> {3} of 5 placed")
    @CsvSource({"none, false, false, 5", "one zone, true, false, 4", "apart, false, true, 4"})
    void zonesOfAnArray(String name, boolean one, boolean apart, int placed) {
        Cluster c = Fixtures.cluster();
        Fixtures.addMachine(c, "n-1", "small", "a");
        Fixtures.addMachine(c, "n-2", "small", "a");
        Fixtures.addMachine(c, "n-3", "small", "b");
        Job j = Fixtures.addJob(c, Fixtures.withZoneRules(Fixtures.array("wk-000001", 5), one, apart));
        // "apart" allows three of five in one zone; zone b has room for two, of which one machine gives two.
        int n = round(c, 1);
        assertEquals(apart ? 5 : placed, n);
        if (apart) {
            assertTrue(j.placedTasksIn("a") <= 3);
        }
        if (one) {
            assertEquals(
                    1,
                    j.placements.values().stream().map(p -> p.zone).distinct().count());
        }
    }

    @Test
    void aTeamsLimitCountsEverythingNotProvenGone() {
        Cluster c = Fixtures.cluster(new Team("t", 0, 4, 0, 0, 1));
        for (int i = 1; i <= 3; i++) {
            Fixtures.addMachine(c, "n-" + i, "small", "a");
        }
        Job j = Fixtures.addJob(c, Fixtures.array("wk-000001", 6));
        assertEquals(2, round(c, 1));
        c.machines.get(j.placements.get(0).machine).tokenConfirmed = false; // silent, perhaps still running
        assertEquals(0, round(c, 2));
    }

    @Test
    void oldAttemptsKeepTheirZoneAndAreNotStartedAgain() {
        Cluster c = Fixtures.cluster();
        Fixtures.addMachine(c, "n-1", "small", "a");
        Job j = Fixtures.addJob(c, Fixtures.withZoneRules(Fixtures.array("wk-000001", 3), true, false));
        assertEquals(2, round(c, 1));
        c.machines.get("n-1").tokenConfirmed = false;
        Fixtures.addMachine(c, "n-2", "small", "b");
        assertEquals(0, round(c, 2));
        assertEquals(2, j.placements.size());
    }

    /** Replicas apart by zone and by machine, counting what is not proven gone; quota likewise. */
    @ParameterizedTest(name = "silent machine {0}, team''s limit {1} CPUs: {2} placed")
    @CsvSource({", 0, 3", "n-1, 0, 3", "n-3, 0, 2", ", 8, 1"})
    void replicasAreSpread(String silent, double limit, int placed) {
        Cluster c = Fixtures.cluster(new Team("t", 0, limit, 0, 0, 1));
        for (int i = 1; i <= 4; i++) {
            Fixtures.addMachine(c, "n-" + i, "small", i < 3 ? "a" : "b");
        }
        JobSpec s = Fixtures.withZoneRules(
                Fixtures.spec("wk-000001", JobType.SERVICE, 6, new Resources(2, 0, 8), Priority.PROD), false, true);
        Job j = Fixtures.addJob(c, s);
        for (int t = 0; t < 3; t++) {
            c.place(j, t, 1, c.machines.get(t < 2 ? "n-1" : "n-2"), 0);
        }
        if (silent != null) {
            c.machines.get(silent).tokenConfirmed = false;
        }
        assertEquals(placed, round(c, 1));
        assertTrue(j.placedTasksIn("a") <= 3 && j.placedTasksIn("b") <= 3);
        for (Machine m : c.machines.values()) {
            assertTrue(m.placements.size() <= 2);
        }
    }

    /** Beside accelerator work a replica takes only what no such work could use, however empty the machine is. */
    @ParameterizedTest(name = "accelerator work of {0} CPUs: room for {1} replicas")
    @CsvSource({"21, 3", "24, 0", "0, 0"})
    void replicasLeaveAcceleratorsTheirCompanions(double cpus, int room) {
        Cluster c = Fixtures.cluster();
        Fixtures.addMachine(c, "n-1", "gpu", "a");
        if (cpus > 0) {
            Fixtures.addJob(c, Fixtures.spec("wk-000001", true, 2, new Resources(cpus, 2, 77), Priority.HIGH));
        }
        Job j = Fixtures.addJob(
                c, Fixtures.spec("wk-000002", JobType.SERVICE, 6, new Resources(1, 0, 2), Priority.PROD));
        round(c, 5);
        assertEquals(room, j.placements.size());
    }

    @Test
    void teamsAreServedInTurn() {
        Cluster c = Fixtures.cluster(new Team("t", 0, 0, 0, 0, 1), new Team("u", 0, 0, 0, 0, 1));
        Fixtures.addMachine(c, "n-1", "small", "a");
        Fixtures.addJob(c, Fixtures.array("wk-000001", 1));
        Fixtures.addJob(c, Fixtures.array("wk-000002", 1));
        var s = Fixtures.array("wk-000003", 1);
        Job u = Fixtures.addJob(
                c,
                new JobSpecBuilder("wk-000003")
                        .team("u")
                        .request(s.request())
                        .priority(s.priority())
                        .submittedMs(99)
                        .build());
        assertEquals(2, round(c, 1));
        assertFalse(u.placements.isEmpty());
    }
}
