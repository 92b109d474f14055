package org.mountlug.core.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.Fixtures;
import org.mountlug.core.allocate.Allocator;
import org.mountlug.core.allocate.ReplicaStartTimes;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Objectives;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.scale.RentalRequest;
import org.mountlug.core.scale.Scaler;

/** What follows from the zones' states for placing, renting, returning and moving. */
class ZoneMonitorTest {
    private static final double LEASE_S = 10;
    private static final int MACHINES = 20;
    private static final ZoneSettings SETTINGS = new ZoneSettings(
            true,
            List.of(),
            new ZoneThresholds(3, 0.5, 0.8, 0.25, 0.5, 3, 4, 60, 120),
            new RampSettings(0.1, 0.1, 0.5));

    private final Cluster cluster = Fixtures.cluster(new Team("t", 0, 0, 0, 0, 1));
    private ZoneMonitor zones = watch();
    private double nowS;

    private ZoneMonitor watch() {
        return new ZoneMonitor(cluster, SETTINGS, LEASE_S, 2);
    }

    private void machines(String zone, int count) {
        for (int i = 0; i < count; i++) {
            Fixtures.addMachine(cluster, name(zone, i), "small", zone);
        }
    }

    private static String name(String zone, int i) {
        return String.format("n-%s-%02d", zone, i);
    }

    /** A second in which the machines of these zones are heard. */
    private void second(String... heard) {
        nowS++;
        for (Machine machine : cluster.machines.values()) {
            if (List.of(heard).contains(machine.zone)) {
                machine.lastReportS = nowS;
                machine.lastResponseS = nowS;
            }
        }
        zones.observe(0, nowS);
    }

    private void seconds(int count, String... heard) {
        for (int i = 0; i < count; i++) {
            second(heard);
        }
    }

    /** Zone a is away until it is lost, then back until it returns. */
    private void loseAndReturn() {
        seconds(3, "a", "b");
        seconds(15, "b");
        assertEquals(ZoneState.LOST, zones.state("a"));
        while (zones.state("a") == ZoneState.LOST) {
            second("a", "b");
        }
        assertEquals(ZoneState.RETURNING, zones.state("a"));
    }

    private Allocator round() {
        Allocator allocator = new Allocator(
                cluster, zones, job -> job.spec.submittedMs(), new ReplicaStartTimes(job -> 8, nowS), nowS);
        allocator.allocate();
        return allocator;
    }

    private int placedIn(String zone) {
        int placed = 0;
        for (Machine machine : cluster.machines.values()) {
            placed += zone.equals(machine.zone) ? machine.placements.size() : 0;
        }
        return placed;
    }

    private void runAll(String zone) {
        for (Machine machine : cluster.machines.values()) {
            for (Placement placement : machine.placements.values()) {
                if (zone.equals(machine.zone) && Double.isNaN(placement.runningSinceS)) {
                    Fixtures.reportRunning(cluster, placement, nowS);
                }
            }
        }
    }

    @Test
    void nothingIsPlacedInALostZoneThoughItIsHeard() {
        machines("a", MACHINES);
        machines("b", 3);
        seconds(3, "a", "b");
        seconds(15, "b");
        second("a", "b");
        assertEquals(ZoneState.LOST, zones.state("a"));
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 30));
        round();
        assertEquals(0, placedIn("a"));
        assertEquals(6, placedIn("b"));
        assertEquals(Set.of("a"), zones.disturbedZones(nowS));
    }

    /** Where machines are to be had in no other zone, holding back would only delay what waits. */
    @Test
    void theOnlyZoneIsNotHeldBack() {
        MachineType only = new MachineType("small", Fixtures.SMALL_TYPE.capacity(), 50, 1, 0.2, 0.08, 30, List.of("a"));
        Cluster single = new Cluster(Fixtures.TOKEN, LEASE_S, List.of(new Team("t", 0, 0, 0, 0, 1)));
        single.setMachineTypes(List.of(only));
        ZoneMonitor watch = new ZoneMonitor(single, SETTINGS, LEASE_S, 2);
        for (int i = 0; i < MACHINES; i++) {
            Fixtures.addMachine(single, name("a", i), "small", "a");
        }
        for (double now = 0; now < 20; now++) {
            watch.observe(0, now);
        }
        assertEquals(ZoneState.LOST, watch.state("a"));
        assertTrue(watch.acceptsWork("a"));
        single.machines.values().forEach(machine -> machine.lastReportS = 21);
        for (double now = 21; now < 26; now++) {
            watch.observe(0, now);
        }
        assertEquals(ZoneState.RETURNING, watch.state("a"));
        assertTrue(watch.startBudgets().isEmpty());
        assertNotNull(watch.displacementOrder(job -> 0), "the order decides who starts first");
        assertEquals(Set.of(), watch.closedZones(26));
    }

    /** Starts under way in a returning zone are within the window, whatever waits: arrays, gangs, replicas. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({"ARRAY", "SERVICE", "GANG"})
    void aReturningZoneGetsNoMoreThanItsWindow(JobType shape) {
        machines("a", MACHINES);
        loseAndReturn();
        for (int i = 0; i < 30; i++) {
            Fixtures.addJob(
                    cluster, Fixtures.spec("wk-00000" + i, shape, 2, new Resources(2, 0, 8), Priority.STANDARD));
        }
        boolean limited = false;
        for (int second = 0; second < 30 && zones.state("a") == ZoneState.RETURNING; second++) {
            round();
            int underWay = 0;
            for (Machine machine : cluster.machines.values()) {
                for (Placement placement : machine.placements.values()) {
                    underWay += Double.isNaN(placement.runningSinceS) ? 1 : 0;
                }
            }
            double window = zones.status().get(0).window();
            if (window < MACHINES) {
                assertTrue(underWay <= window, underWay + " under way, window " + window);
                limited |= underWay > 0;
            }
            runAll("a");
            second("a", "b");
        }
        assertTrue(limited, "there were rounds in which the window held");
        assertEquals(ZoneState.PRESENT, zones.state("a"));
    }

    /** Image downloads are limited apart: tasks whose image the machine has may fill the whole window. */
    @ParameterizedTest(name = "images there {0}")
    @ValueSource(booleans = {false, true})
    void downloadsAreLimited(boolean imagesThere) {
        machines("a", MACHINES);
        loseAndReturn();
        seconds(6, "a", "b");
        assertEquals(14, zones.status().get(0).window());
        if (imagesThere) {
            cluster.machines.values().forEach(machine -> machine.cachedImages.add("img"));
        }
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 100));
        round();
        assertEquals(10, placedIn("a"), "each may be a download");
        for (int i = 0; i < 5; i++) {
            second("a", "b");
            round();
            long fetching = cluster.machines.values().stream()
                    .filter(machine -> !machine.placements.isEmpty() && machine.cachedImages.isEmpty())
                    .count();
            assertTrue(fetching <= 10, fetching + " fetch");
        }
        assertEquals(14, placedIn("a"));
    }

    private Scaler scaler() {
        return new Scaler(cluster, zones, new Objectives(), LEASE_S, 2, 20, 1.15);
    }

    private int rent(Scaler scaler) {
        int count = 0;
        for (RentalRequest rental : scaler.planRentals(nowS, nowS)) {
            assertFalse(rental.zone().equals("a"), "nothing is rented in the zone that is away");
            for (int i = 0; i < rental.count(); i++, count++) {
                cluster.addRentedMachine(rental.name() + "-" + i, rental.type(), rental.zone(), rental.spot(), nowS);
            }
        }
        return count;
    }

    /** What is not urgent rents a part of the lost machines at once and the rest as the loss lasts; what is does not wait. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({"STANDARD, 5, 13", "HIGH, 20, 20"})
    void substitutesAreRentedInOrderAndWithoutARush(Priority urgency, int atOnce, int after12S) {
        machines("a", MACHINES);
        machines("b", 3);
        seconds(3, "a", "b");
        while (zones.state("a") == ZoneState.PRESENT) {
            second("b");
        }
        Scaler scaler = scaler();
        JobSpec spec = Fixtures.spec("wk-000001", JobType.ARRAY, 200, new Resources(4, 0, 8), urgency);
        Fixtures.addJob(cluster, Fixtures.withClassAndTeam(spec, "lane", "t", 0));
        int rented = rent(scaler);
        assertTrue(urgency == Priority.HIGH ? rented >= atOnce : rented == atOnce, "at once: " + rented);
        seconds(12, "b");
        rented += rent(scaler);
        assertTrue(urgency == Priority.HIGH ? rented >= after12S : rented == after12S, "later: " + rented);
    }

    /** Idle substitutes go back at the pace of the ramp, those rented on other days at once. */
    @Test
    void substitutesAreReturnedAtThePaceOfTheRamp() {
        machines("a", MACHINES);
        machines("b", 3);
        seconds(3, "a", "b");
        seconds(15, "b");
        for (int i = 0; i < 12; i++) {
            cluster.addRentedMachine("n-sub-" + i, "small", "b", false, nowS);
            Fixtures.addMachine(cluster, "n-sub-" + i, "small", "b");
        }
        seconds(60, "b");
        while (zones.state("a") == ZoneState.LOST) {
            second("a", "b");
        }
        List<String> returned = new ArrayList<>(scaler().planReturns(nowS, nowS));
        assertEquals(
                1, returned.stream().filter(name -> name.startsWith("n-sub")).count());
        assertEquals(3, returned.stream().filter(name -> name.startsWith("n-b")).count());
    }

    private Machine substituteWith(JobSpec spec) {
        machines("a", MACHINES);
        machines("b", 3);
        seconds(3, "a", "b");
        seconds(15, "b");
        cluster.addRentedMachine("n-sub", "gpu", "b", false, nowS);
        Fixtures.addMachine(cluster, "n-sub", "gpu", "b");
        Machine substitute = cluster.machines.get("n-sub");
        Job job = Fixtures.addJob(cluster, spec);
        Fixtures.reportRunning(cluster, cluster.place(job, 0, 1, substitute, nowS), nowS);
        while (zones.state("a") == ZoneState.LOST) {
            second("a", "b");
        }
        for (Machine machine : cluster.machines.values()) {
            machine.idleSinceS = nowS;
        }
        return substitute;
    }

    /** Work moves back only if it loses nothing by it and a dearer machine is saved for long enough. */
    @ParameterizedTest(name = "expected {0} s, checkpoint every {1} s, {2}, one zone {3}: moves {4}")
    @CsvSource({
        "600, 15, ARRAY, false, true",
        "600, 0, ARRAY, false, false",
        "40, 15, ARRAY, false, false",
        "600, 15, GANG, false, false",
        "600, 15, ARRAY, true, false",
        "600, 15, SERVICE, false, true"
    })
    void workMovesBackWhereThatIsCheapAndPays(
            double expectedS, double checkpointS, JobType shape, boolean oneZone, boolean moves) {
        JobSpec spec = Fixtures.withRunTimes(
                Fixtures.spec("wk-000001", shape, 1, new Resources(2, 0, 8), Priority.STANDARD),
                expectedS,
                checkpointS);
        Machine substitute = substituteWith(Fixtures.withZoneRules(spec, oneZone, false));
        zones.planFailback(nowS);
        assertEquals(moves, substitute.draining);
        assertEquals(!moves, substitute.isSchedulable());
        if (!moves) {
            return;
        }
        Scaler scaler = scaler();
        scaler.drain(nowS);
        Placement placement = substitute.placements.values().iterator().next();
        // A replica stops once another machine has room for it that its zone lets it have: b is there, a only by and
        // by.
        assertTrue(placement.stopping);
        assertFalse(scaler.planReturns(nowS, nowS).contains("n-sub"), "not before what runs there is gone");
        seconds(13, "b");
        assertEquals(ZoneState.LOST, zones.state("a"));
        assertFalse(substitute.draining, "the zone is gone again: what is left stays");
    }

    /** Where all zones are silent, or other controllers hear the workers, it is the leader that does not hear. */
    @ParameterizedTest(name = "heard {0}, {1} reports elsewhere: {2}")
    @CsvSource({"b, 0, LOST", "'', 0, SUSPECT", "b, 15, SUSPECT", "b, 9, LOST"})
    void silenceIsBlamedOnTheZoneOnlyIfItCanBe(String heard, int reportsElsewhere, ZoneState expected) {
        machines("a", MACHINES);
        machines("b", MACHINES);
        seconds(3, "a", "b");
        for (int i = 0; i < 20; i++) {
            nowS++;
            for (Machine machine : cluster.machines.values()) {
                machine.lastReportS = machine.zone.equals(heard) ? nowS : machine.lastReportS;
            }
            zones.observe(reportsElsewhere, nowS);
        }
        assertEquals(expected, zones.state("a"));
    }

    /** Machines that the cloud shows no more are gone: a storm of ending machines is no lost zone. */
    @Test
    void machinesThatTheCloudDoesNotShowAreNotCounted() {
        machines("a", MACHINES);
        machines("b", 3);
        seconds(3, "a", "b");
        cluster.machines.values().forEach(machine -> machine.unlisted = machine.zone.equals("a"));
        seconds(20, "b");
        assertEquals(ZoneState.PRESENT, zones.state("a"));
    }

    /** A new leader that has heard of few machines yet neither ends a return nor lets its window fall. */
    @Test
    void aNewLeaderKeepsAReturnUntilItKnowsTheMachines() {
        machines("a", MACHINES);
        machines("b", 3);
        loseAndReturn();
        seconds(7, "a", "b");
        List<ZoneSnapshot> stored = zones.snapshots(nowS);
        double window = stored.get(0).window();
        assertEquals(16, window);
        cluster.machines.clear();
        cluster.restartListening(nowS);
        zones = watch();
        zones.restore(stored, nowS);
        // A second holds two machines' first reports, so that all of them come within the first lease.
        for (int known = 1; known < MACHINES; known += 2) {
            Fixtures.addMachine(cluster, name("a", known - 1), "small", "a");
            Fixtures.addMachine(cluster, name("a", known), "small", "a");
            second("a", "b");
            boolean untouched = known + 1 < MACHINES / 2;
            assertTrue(zones.status().get(0).window() >= window || zones.state("a") == ZoneState.PRESENT);
            assertTrue(!untouched || zones.status().get(0).window() == window);
            assertTrue(
                    known + 1 > MACHINES * 0.6 || zones.state("a") == ZoneState.RETURNING,
                    known + 1 + " machines known");
        }
        seconds(20, "a", "b");
        assertEquals(ZoneState.PRESENT, zones.state("a"), "all that there are have been heard of by now");
    }

    /** With tracking switched off a zone is judged by the silence of the moment, and nothing else follows. */
    @Test
    void withoutTheSwitchNothingButSilenceCounts() {
        zones = Fixtures.untrackedZones(cluster);
        machines("a", MACHINES);
        machines("b", 3);
        seconds(3, "a", "b");
        seconds(15, "b");
        assertEquals(Set.of("a"), zones.disturbedZones(nowS));
        assertEquals(Set.of("a"), zones.closedZones(nowS));
        assertTrue(zones.acceptsWork("a"));
        assertNull(zones.displacementOrder(job -> 0));
        assertEquals(Integer.MAX_VALUE, zones.maxDeferrableRentals(nowS));
        second("a", "b");
        assertEquals(Set.of(), zones.disturbedZones(nowS));
        assertTrue(zones.startBudgets().isEmpty());
        assertTrue(zones.snapshots(nowS).isEmpty());
    }
}
