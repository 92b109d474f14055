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
import org.mountlug.core.cluster.MachineListing;
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

/** Tests the effects of the zones' states on placing work, and on renting, returning and draining machines. */
class ZoneMonitorTest {
    private static final double LEASE_S = 10;
    private static final int MACHINES = 20;
    private static final ZoneSettings SETTINGS = new ZoneSettings(
            true,
            List.of(),
            new ZoneThresholds(3, 0.5, 0.8, 0.25, 0.5, 3, 4, 60, 120),
            new RampSettings(0.1, 0.1, 0.5));

    private final Cluster cluster = Fixtures.cluster(new Team("t", 0, 0, 0, 0, 1));
    private ZoneMonitor zones = newMonitor();
    private double nowS;

    private ZoneMonitor newMonitor() {
        return new ZoneMonitor(cluster, SETTINGS, LEASE_S, 2);
    }

    private void addMachines(String zone, int count) {
        for (int i = 0; i < count; i++) {
            Fixtures.addMachine(cluster, machineName(zone, i), "small", zone);
        }
    }

    private static String machineName(String zone, int index) {
        return String.format("n-%s-%02d", zone, index);
    }

    /** Advances the time by a second in which only the machines of these zones report. */
    private void advanceOneSecond(String... reportingZones) {
        nowS++;
        for (Machine machine : cluster.machines.values()) {
            if (List.of(reportingZones).contains(machine.zone)) {
                machine.lastReportS = nowS;
                machine.lastResponseS = nowS;
            }
        }
        zones.observe(0, nowS);
    }

    private void advanceSeconds(int count, String... reportingZones) {
        for (int i = 0; i < count; i++) {
            advanceOneSecond(reportingZones);
        }
    }

    /** Keeps zone a silent until it is lost, then lets it report until it is returning. */
    private void loseZoneAndBeginReturn() {
        advanceSeconds(3, "a", "b");
        advanceSeconds(15, "b");
        assertEquals(ZoneState.LOST, zones.state("a"));
        while (zones.state("a") == ZoneState.LOST) {
            advanceOneSecond("a", "b");
        }
        assertEquals(ZoneState.RETURNING, zones.state("a"));
    }

    private Allocator allocateOnce() {
        Allocator allocator = new Allocator(
                cluster, zones, job -> job.spec.submittedMs(), new ReplicaStartTimes(job -> 8, nowS), nowS);
        allocator.allocate();
        return allocator;
    }

    private int placementsIn(String zone) {
        int placed = 0;
        for (Machine machine : cluster.machines.values()) {
            placed += zone.equals(machine.zone) ? machine.placements.size() : 0;
        }
        return placed;
    }

    private void reportAllRunning(String zone) {
        for (Machine machine : cluster.machines.values()) {
            for (Placement placement : machine.placements.values()) {
                if (zone.equals(machine.zone) && Double.isNaN(placement.runningSinceS)) {
                    Fixtures.reportRunning(cluster, placement, nowS);
                }
            }
        }
    }

    @Test
    void placesNothingInALostZoneThatHasJustReported() {
        addMachines("a", MACHINES);
        addMachines("b", 3);
        advanceSeconds(3, "a", "b");
        advanceSeconds(15, "b");
        advanceOneSecond("a", "b");
        assertEquals(ZoneState.LOST, zones.state("a"));
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 30));
        allocateOnce();
        assertEquals(0, placementsIn("a"));
        assertEquals(6, placementsIn("b"));
        assertEquals(Set.of("a"), zones.disturbedZones(nowS));
    }

    /** If no machine type is offered in another zone, limiting the starts would only delay the waiting work. */
    @Test
    void theOnlyZoneIsNotLimited() {
        MachineType machineType =
                new MachineType("small", Fixtures.SMALL_TYPE.capacity(), 50, 1, 0.2, 0.08, 30, List.of("a"));
        Cluster singleZoneCluster = new Cluster(Fixtures.TOKEN, LEASE_S, List.of(new Team("t", 0, 0, 0, 0, 1)));
        singleZoneCluster.setMachineTypes(List.of(machineType));
        ZoneMonitor monitor = new ZoneMonitor(singleZoneCluster, SETTINGS, LEASE_S, 2);
        for (int i = 0; i < MACHINES; i++) {
            Fixtures.addMachine(singleZoneCluster, machineName("a", i), "small", "a");
        }
        for (double timeS = 0; timeS < 20; timeS++) {
            monitor.observe(0, timeS);
        }
        assertEquals(ZoneState.LOST, monitor.state("a"));
        assertTrue(monitor.acceptsWork("a"));
        singleZoneCluster.machines.values().forEach(machine -> machine.lastReportS = 21);
        for (double timeS = 21; timeS < 26; timeS++) {
            monitor.observe(0, timeS);
        }
        assertEquals(ZoneState.RETURNING, monitor.state("a"));
        assertTrue(monitor.startBudgets().isEmpty());
        assertNotNull(
                monitor.displacementOrder(job -> 0), "the displacement order applies although starts are not limited");
        assertEquals(Set.of(), monitor.closedZones(26));
    }

    /** The starts in progress in a returning zone never exceed the window, for jobs of every type. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({"ARRAY", "SERVICE", "GANG"})
    void startsInAReturningZoneStayWithinItsWindow(JobType jobType) {
        addMachines("a", MACHINES);
        loseZoneAndBeginReturn();
        for (int i = 0; i < 30; i++) {
            Fixtures.addJob(
                    cluster, Fixtures.spec("wk-00000" + i, jobType, 2, new Resources(2, 0, 8), Priority.STANDARD));
        }
        boolean limited = false;
        for (int second = 0; second < 30 && zones.state("a") == ZoneState.RETURNING; second++) {
            allocateOnce();
            int inProgress = 0;
            for (Machine machine : cluster.machines.values()) {
                for (Placement placement : machine.placements.values()) {
                    inProgress += Double.isNaN(placement.runningSinceS) ? 1 : 0;
                }
            }
            double window = zones.status().get(0).window();
            if (window < MACHINES) {
                assertTrue(inProgress <= window, inProgress + " in progress, window " + window);
                limited |= inProgress > 0;
            }
            reportAllRunning("a");
            advanceOneSecond("a", "b");
        }
        assertTrue(limited, "the window limited the starts of at least one round");
        assertEquals(ZoneState.PRESENT, zones.state("a"));
    }

    /** Image downloads have a lower limit of their own; tasks whose image is cached may fill the whole window. */
    @ParameterizedTest(name = "images cached {0}")
    @ValueSource(booleans = {false, true})
    void imageDownloadsAreLimited(boolean imagesCached) {
        addMachines("a", MACHINES);
        loseZoneAndBeginReturn();
        advanceSeconds(6, "a", "b");
        assertEquals(14, zones.status().get(0).window());
        if (imagesCached) {
            cluster.machines.values().forEach(machine -> machine.cachedImages.add("img"));
        }
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 100));
        allocateOnce();
        assertEquals(10, placementsIn("a"), "every start may need a download, so the download limit applies");
        for (int i = 0; i < 5; i++) {
            advanceOneSecond("a", "b");
            allocateOnce();
            long fetching = cluster.machines.values().stream()
                    .filter(machine -> !machine.placements.isEmpty() && machine.cachedImages.isEmpty())
                    .count();
            assertTrue(fetching <= 10, fetching + " machines download an image");
        }
        assertEquals(14, placementsIn("a"));
    }

    private Scaler newScaler() {
        return new Scaler(cluster, zones, new Objectives(), LEASE_S, 2, 20, 1.15);
    }

    private int rentMachines(Scaler scaler) {
        int count = 0;
        for (RentalRequest rental : scaler.planRentals(nowS, nowS)) {
            assertFalse(rental.zone().equals("a"), "no machine is rented in the absent zone");
            for (int i = 0; i < rental.count(); i++, count++) {
                cluster.addRentedMachine(rental.name() + "-" + i, rental.type(), rental.zone(), rental.spot(), nowS);
            }
        }
        return count;
    }

    /**
     * Work that is not urgent rents substitutes for a part of the silent machines at once and for the others while the zone
     * stays absent; urgent work rents all of them at once.
     */
    @ParameterizedTest(name = "priority {0}: {1} at once, {2} after 12 s")
    @CsvSource({"STANDARD, 5, 13", "HIGH, 20, 20"})
    void workThatIsNotUrgentRentsSubstitutesGradually(Priority priority, int expectedAtOnce, int expectedAfter12S) {
        addMachines("a", MACHINES);
        addMachines("b", 3);
        advanceSeconds(3, "a", "b");
        while (zones.state("a") == ZoneState.PRESENT) {
            advanceOneSecond("b");
        }
        Scaler scaler = newScaler();
        JobSpec spec = Fixtures.spec("wk-000001", JobType.ARRAY, 200, new Resources(4, 0, 8), priority);
        Fixtures.addJob(cluster, Fixtures.withClassAndTeam(spec, "lane", "t", 0));
        int rented = rentMachines(scaler);
        assertTrue(
                priority == Priority.HIGH ? rented >= expectedAtOnce : rented == expectedAtOnce,
                "rented at once: " + rented);
        advanceSeconds(12, "b");
        rented += rentMachines(scaler);
        assertTrue(
                priority == Priority.HIGH ? rented >= expectedAfter12S : rented == expectedAfter12S,
                "rented after 12 s: " + rented);
    }

    /** Idle substitutes are returned as fast as the ramp allows, other idle machines at once. */
    @Test
    void idleSubstitutesAreReturnedAtTheRateOfTheRamp() {
        addMachines("a", MACHINES);
        addMachines("b", 3);
        advanceSeconds(3, "a", "b");
        advanceSeconds(15, "b");
        for (int i = 0; i < 12; i++) {
            cluster.addRentedMachine("n-sub-" + i, "small", "b", false, nowS);
            Fixtures.addMachine(cluster, "n-sub-" + i, "small", "b");
        }
        advanceSeconds(60, "b");
        while (zones.state("a") == ZoneState.LOST) {
            advanceOneSecond("a", "b");
        }
        List<String> returned = new ArrayList<>(newScaler().planReturns(nowS, nowS));
        assertEquals(
                1, returned.stream().filter(name -> name.startsWith("n-sub")).count());
        assertEquals(3, returned.stream().filter(name -> name.startsWith("n-b")).count());
    }

    private Machine addSubstituteThatRuns(JobSpec spec) {
        addMachines("a", MACHINES);
        addMachines("b", 3);
        advanceSeconds(3, "a", "b");
        advanceSeconds(15, "b");
        cluster.addRentedMachine("n-sub", "gpu", "b", false, nowS);
        Fixtures.addMachine(cluster, "n-sub", "gpu", "b");
        Machine substitute = cluster.machines.get("n-sub");
        Job job = Fixtures.addJob(cluster, spec);
        Fixtures.reportRunning(cluster, cluster.place(job, 0, 1, substitute, nowS), nowS);
        while (zones.state("a") == ZoneState.LOST) {
            advanceOneSecond("a", "b");
        }
        for (Machine machine : cluster.machines.values()) {
            machine.idleSinceS = nowS;
        }
        return substitute;
    }

    /** Work moves back only if no progress is lost and a more expensive machine is saved for long enough. */
    @ParameterizedTest(name = "{2} of {0} s, checkpoint every {1} s, one zone {3}: moves {4}")
    @CsvSource({
        "600, 15, ARRAY, false, true",
        "600, 0, ARRAY, false, false",
        "40, 15, ARRAY, false, false",
        "600, 15, GANG, false, false",
        "600, 15, ARRAY, true, false",
        "600, 15, SERVICE, false, true"
    })
    void workMovesBackIfThatIsCheapAndSavesMoney(
            double expectedS, double checkpointS, JobType jobType, boolean oneZone, boolean moves) {
        JobSpec spec = Fixtures.withRunTimes(
                Fixtures.spec("wk-000001", jobType, 1, new Resources(2, 0, 8), Priority.STANDARD),
                expectedS,
                checkpointS);
        Machine substitute = addSubstituteThatRuns(Fixtures.withZoneRules(spec, oneZone, false));
        zones.planFailback(nowS);
        assertEquals(moves, substitute.draining);
        assertEquals(!moves, substitute.isSchedulable());
        if (!moves) {
            return;
        }
        Scaler scaler = newScaler();
        scaler.drain(nowS);
        Placement placement = substitute.placements.values().iterator().next();
        // A replica stops once another machine has free capacity for it: zone b does, while zone a is still limited by
        // its ramp.
        assertTrue(placement.stopping);
        assertFalse(
                scaler.planReturns(nowS, nowS).contains("n-sub"),
                "a machine is not returned before its tasks have ended");
        advanceSeconds(13, "b");
        assertEquals(ZoneState.LOST, zones.state("a"));
        assertFalse(substitute.draining, "the zone is lost again, so the remaining work stays on the substitute");
    }

    /** If all zones are silent, or the silent workers report to other controllers, the leader is cut off and not the zone. */
    @ParameterizedTest(name = "reporting zone ''{0}'', {1} peer reports: zone a is {2}")
    @CsvSource({"b, 0, LOST", "'', 0, SUSPECT", "b, 15, SUSPECT", "b, 9, LOST"})
    void silenceOfAllZonesOrReportsToPeersPreventALoss(String reportingZone, int peerReports, ZoneState expected) {
        addMachines("a", MACHINES);
        addMachines("b", MACHINES);
        advanceSeconds(3, "a", "b");
        for (int i = 0; i < 20; i++) {
            nowS++;
            for (Machine machine : cluster.machines.values()) {
                machine.lastReportS = machine.zone.equals(reportingZone) ? nowS : machine.lastReportS;
            }
            zones.observe(peerReports, nowS);
        }
        assertEquals(expected, zones.state("a"));
    }

    /** Machines that the cloud does not list any more are gone; many of them at a time do not make their zone lost. */
    @Test
    void machinesGoneByTheMachineListAreNotCounted() {
        addMachines("a", MACHINES);
        addMachines("b", 3);
        advanceSeconds(3, "a", "b");
        cluster.machines
                .values()
                .forEach(machine ->
                        machine.listing = machine.zone.equals("a") ? MachineListing.GONE : MachineListing.LISTED);
        advanceSeconds(20, "b");
        assertEquals(ZoneState.PRESENT, zones.state("a"));
    }

    /** A new leader to which few machines have reported yet neither ends a return nor lowers the window of its ramp. */
    @Test
    void aNewLeaderKeepsTheRampUntilItKnowsTheMachines() {
        addMachines("a", MACHINES);
        addMachines("b", 3);
        loseZoneAndBeginReturn();
        advanceSeconds(7, "a", "b");
        List<ZoneSnapshot> stored = zones.snapshots(nowS);
        double window = stored.get(0).window();
        assertEquals(16, window);
        cluster.machines.clear();
        cluster.restartListening(nowS);
        zones = newMonitor();
        zones.restore(stored, nowS);
        // Two machines report for the first time in each second, so that all have reported within the first lease.
        for (int index = 1; index < MACHINES; index += 2) {
            Fixtures.addMachine(cluster, machineName("a", index - 1), "small", "a");
            Fixtures.addMachine(cluster, machineName("a", index), "small", "a");
            advanceOneSecond("a", "b");
            boolean tooFewToJudge = index + 1 < MACHINES / 2;
            assertTrue(zones.status().get(0).window() >= window || zones.state("a") == ZoneState.PRESENT);
            assertTrue(!tooFewToJudge || zones.status().get(0).window() == window);
            assertTrue(
                    index + 1 > MACHINES * 0.6 || zones.state("a") == ZoneState.RETURNING,
                    index + 1 + " machines have reported");
        }
        advanceSeconds(20, "a", "b");
        assertEquals(ZoneState.PRESENT, zones.state("a"), "all machines have reported by now");
    }

    /** With tracking disabled, only the machines that are silent at the moment count, and no limits apply. */
    @Test
    void withTrackingDisabledOnlyCurrentSilenceCounts() {
        zones = Fixtures.untrackedZones(cluster);
        addMachines("a", MACHINES);
        addMachines("b", 3);
        advanceSeconds(3, "a", "b");
        advanceSeconds(15, "b");
        assertEquals(Set.of("a"), zones.disturbedZones(nowS));
        assertEquals(Set.of("a"), zones.closedZones(nowS));
        assertTrue(zones.acceptsWork("a"));
        assertNull(zones.displacementOrder(job -> 0));
        assertEquals(Integer.MAX_VALUE, zones.maxDeferrableRentals(nowS));
        advanceOneSecond("a", "b");
        assertEquals(Set.of(), zones.disturbedZones(nowS));
        assertTrue(zones.startBudgets().isEmpty());
        assertTrue(zones.snapshots(nowS).isEmpty());
    }
}
