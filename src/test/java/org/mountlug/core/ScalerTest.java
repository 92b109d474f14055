package org.mountlug.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.Fixtures;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.cluster.MachineListing;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Objectives;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.scale.ListedMachine;
import org.mountlug.core.scale.RentalRequest;
import org.mountlug.core.scale.Scaler;

/** Tests which machines the scaler rents and returns. */
class ScalerTest {
    private static final double IDLE_KEEP_S = 20;
    private final Cluster cluster = Fixtures.cluster(new Team("t", 0, 40, 0, 0, 1));
    private final Scaler scaler =
            new Scaler(cluster, Fixtures.untrackedZones(cluster), new Objectives(), 10, 2, IDLE_KEEP_S, 1.15);

    @Test
    void rentsFromTheCheapestPoolUnderUniqueNames() {
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 4));
        Set<String> names = new HashSet<>();
        for (int second = 0; second < 3; second++) {
            for (RentalRequest request : scaler.planRentals(second, 0)) {
                assertEquals("small", request.type());
                assertTrue(request.spot());
                assertTrue(names.add(request.name()));
            }
        }
        assertFalse(names.isEmpty());
    }

    @Test
    void bootingMachinesCountAsCapacity() {
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 4));
        int rented = 0;
        for (RentalRequest request : scaler.planRentals(0, 0)) {
            for (int i = 0; i < request.count(); i++) {
                cluster.addRentedMachine("n-" + rented++, request.type(), request.zone(), request.spot(), 0);
            }
        }
        assertTrue(rented > 0);
        assertEquals(List.of(), scaler.planRentals(1, 1));
    }

    private int rentMachines(double nowS) {
        int rented = 0;
        for (RentalRequest request : scaler.planRentals(nowS, nowS)) {
            for (int i = 0; i < request.count(); i++) {
                cluster.addRentedMachine(
                        "n-" + request.name() + "-" + i, request.type(), request.zone(), request.spot(), nowS);
                rented++;
            }
        }
        return rented;
    }

    private List<Machine> machines() {
        return List.copyOf(cluster.machines.values());
    }

    private void sendFirstReport(Machine machine, double nowS) {
        cluster.handleReport(
                Fixtures.report(machine.name, machine.type.name(), machine.zone, 1, 1, Fixtures.TOKEN), true, nowS);
    }

    /**
     * Guards against planning with an overdue machine as if it came up within a second: the work that waited for it was
     * delayed by minutes.
     */
    @ParameterizedTest(name = "{0} s after the rental, nominal boot time 30 s: another machine is rented {1}")
    @CsvSource({"20, false", "40, false", "47, false", "50, true", "70, true"})
    void anOverdueMachineIsReplacedOnce(double afterS, boolean replaced) {
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 1));
        assertEquals(1, rentMachines(0));
        assertEquals(replaced ? 1 : 0, rentMachines(afterS));
        assertEquals(0, rentMachines(afterS + 1), "only one replacement is rented");
        machines().forEach(machine -> sendFirstReport(machine, afterS + 2));
        assertEquals(0, rentMachines(afterS + 3));
        assertEquals(
                List.of(), scaler.planReturns(afterS + 3, 0), "a machine that comes up late is kept until it is idle");
    }

    /** If most rented machines of a pool are overdue, other pools are used instead, and this pool is tried again later. */
    @Test
    void aPoolWithOverdueMachinesIsAvoidedForSomeTime() {
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 24));
        assertTrue(rentMachines(0) >= 3);
        Set<String> overduePools = new HashSet<>();
        machines().forEach(machine -> overduePools.add(machine.type.name() + machine.zone + machine.spot));
        assertEquals(1, overduePools.size());
        assertTrue(rentMachines(50) > 0);
        for (Machine machine : machines()) {
            assertEquals(
                    machine.rentedS == 0,
                    overduePools.contains(machine.type.name() + machine.zone + machine.spot),
                    "replacements come from another pool");
        }
        double giveUpS = 30 * 2.2 + 16;
        scaler.planReturns(giveUpS, 0).forEach(name -> cluster.recordMachineGone(name, giveUpS, "returned"));
        List<Machine> remaining = machines();
        assertTrue(
                remaining.stream().noneMatch(machine -> machine.rentedS == 0),
                "machines that never came up are returned");
        Fixtures.addJob(cluster, Fixtures.array("wk-000002", 40));
        rentMachines(giveUpS + 400);
        assertTrue(
                machines().stream()
                        .anyMatch(machine -> overduePools.contains(machine.type.name() + machine.zone + machine.spot)),
                "the pool is tried again");
    }

    /**
     * Of the machines that an earlier leader rented, only the late ones are still booting; counting them would make their
     * pool seem unreliable although its other machines came up in time.
     */
    @Test
    void bootingMachinesOfAnEarlierLeaderDoNotMakeAPoolAvoided() {
        cluster.applyMachineList(
                java.util.stream.IntStream.range(0, 5)
                        .mapToObj(i -> new ListedMachine(
                                "n-" + i, "x:1", "small", "a", true, ListedMachine.Status.BOOTING, 60))
                        .toList(),
                10,
                0);
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 1));
        RentalRequest first = scaler.planRentals(1, 1).get(0);
        assertEquals("small in a spot", first.pool().toString());
    }

    /** The boot timeout is longer for a pool whose machines were observed to boot slowly. */
    @ParameterizedTest(name = "other machines booted in {0} s: given up {1}")
    @CsvSource({"30, true", "90, false"})
    void observedBootTimesSetTheBootTimeout(double observedBootS, boolean givenUp) {
        for (int i = 0; i < 5; i++) {
            cluster.addRentedMachine("n-" + i, "small", "a", false, 0);
        }
        machines().forEach(machine -> sendFirstReport(machine, observedBootS));
        scaler.planRentals(observedBootS, observedBootS);
        cluster.addRentedMachine("n-late", "small", "a", false, 100);
        double timeoutS = 100 + 30 * 2.2 + 16;
        scaler.planRentals(timeoutS, timeoutS);
        assertEquals(givenUp, scaler.planReturns(timeoutS, 0).contains("n-late"));
    }

    @Test
    void doesNotRentBeyondATeamsLimit() {
        Fixtures.addJob(cluster, Fixtures.spec("wk-000001", false, 1, new Resources(50, 0, 1), Priority.HIGH));
        assertEquals(List.of(), scaler.planRentals(0, 0));
    }

    @Test
    void aRefusedPoolIsNotUsedForSomeTime() {
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 2));
        RentalRequest request = scaler.planRentals(0, 0).get(0);
        scaler.recordRefused(request, 0);
        for (RentalRequest laterRequest : scaler.planRentals(1, 1)) {
            assertFalse(laterRequest.type().equals(request.type())
                    && laterRequest.zone().equals(request.zone())
                    && laterRequest.spot() == request.spot());
        }
    }

    @ParameterizedTest(name = "idle for {0} s, spare {1}: returned {2}")
    @CsvSource({"10, true, false", "30, true, false", "60, true, true"})
    void theOnlyIdleMachineOfATypeIsKeptLonger(double idleS, boolean spare, boolean returned) {
        Machine machine = Fixtures.addMachine(cluster, "n-1", "small", "a");
        machine.lastReportS = idleS;
        assertEquals(returned, scaler.planReturns(idleS, 0).contains("n-1"));
    }

    @Test
    void aMachineThatNeverComesUpIsReturned() {
        cluster.addRentedMachine("n-1", "small", "a", false, 0);
        assertEquals(List.of(), scaler.planReturns(60, 0));
        assertEquals(List.of("n-1"), scaler.planReturns(120, 0));
    }

    /**
     * Guards against counting on a machine that was taken while it booted: its work waited until the machine was overdue, and
     * its pool was blamed for a machine that never came up.
     */
    @ParameterizedTest(name = "rented by {0} leader, listed {1}, missing from a list of {2} s: replaced {3}")
    @CsvSource({
        "this, false, -1, false",
        "this, false, 1, true",
        "this, true, -1, false",
        "this, true, 1, true",
        "an earlier, true, -1, false",
        "an earlier, true, 1, true"
    })
    void aMachineTakenWhileItBootsIsReplaced(
            String rentedBy, boolean listed, double describedSinceS, boolean replaced) {
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 1));
        if (rentedBy.equals("this")) {
            cluster.addRentedMachine("n-1", "small", "a", true, 0);
        }
        if (listed) {
            cluster.applyMachineList(
                    List.of(new ListedMachine("n-1", "x:1", "small", "a", true, ListedMachine.Status.BOOTING, 0)),
                    -20,
                    0);
        }
        cluster.applyMachineList(List.of(), describedSinceS, 22);
        List<String> returned = scaler.planReturns(22, 22);
        assertEquals(replaced ? List.of("n-1") : List.of(), returned);
        returned.forEach(name -> cluster.recordMachineGone(name, 22, "returned"));
        List<RentalRequest> rentals = scaler.planRentals(23, 23);
        assertEquals(replaced ? 1 : 0, rentals.size());
        rentals.forEach(rental -> assertEquals("small in a spot", rental.pool().toString()));
    }

    @Test
    void oneSilentMachineIsReturnedButNotWhenMostAreSilent() {
        for (int i = 0; i < 5; i++) {
            Fixtures.addMachine(cluster, "n-" + i, "small", "a");
        }
        Job job = Fixtures.addJob(cluster, Fixtures.array("wk-000001", 5));
        int task = 0;
        for (Machine machine : cluster.machines.values()) {
            cluster.place(job, task++, 1, machine, 0);
        }
        for (Machine machine : cluster.machines.values()) {
            machine.lastReportS = machine.name.equals("n-3") ? 0 : 30;
        }
        assertEquals(List.of("n-3"), scaler.planReturns(30, 0));
        for (Machine machine : cluster.machines.values()) {
            machine.lastReportS = 0;
        }
        cluster.machines.get("n-3").beingReturned = false;
        assertEquals(List.of(), scaler.planReturns(31, 0));
    }

    /** The tasks of a gang run at the same time, so a machine that could only run them one after another is not enough. */
    @ParameterizedTest(name = "gang of {0} tasks, {1} machines up: {2} machines rented")
    @CsvSource({"7, 0, 2", "7, 1, 1", "8, 2, 0", "3, 1, 0"})
    void aGangNeedsMachinesForAllItsTasksAtOnce(int tasks, int reportingMachines, int rented) {
        for (int i = 0; i < reportingMachines; i++) {
            Fixtures.addMachine(cluster, "n-" + i, "small", "a");
        }
        Fixtures.addJob(cluster, Fixtures.spec("wk-000001", true, tasks, new Resources(1, 0, 2), Priority.HIGH));
        assertEquals(
                rented,
                scaler.planRentals(1, 0).stream().mapToInt(RentalRequest::count).sum());
    }

    @Test
    void aLargeQueueIsRentedForAtOnceInRequestsOfLimitedSize() {
        Cluster largeCluster = Fixtures.cluster(new Team("t", 0, 0, 0, 0, 1));
        Fixtures.addJob(largeCluster, Fixtures.array("wk-000001", 2000));
        List<RentalRequest> requests = new Scaler(
                        largeCluster, Fixtures.untrackedZones(largeCluster), new Objectives(), 10, 2, IDLE_KEEP_S, 1.15)
                .planRentals(0, 250);
        assertTrue(requests.stream().mapToInt(RentalRequest::count).sum() > 100);
        assertTrue(requests.stream().allMatch(request -> request.count() <= 50));
        assertEquals(
                requests.size(),
                requests.stream().map(RentalRequest::name).distinct().count());
    }

    /** A machine whose reports arrive but which responses do not reach is not silent, so it is detected separately. */
    @Test
    void aMachineOutOfContactIsReturnedUnlessMostMachinesAre() {
        for (int i = 0; i < 5; i++) {
            Fixtures.addMachine(cluster, "n-" + i, "small", "a");
        }
        Job job = Fixtures.addJob(cluster, Fixtures.array("wk-000001", 5));
        int task = 0;
        for (Machine machine : cluster.machines.values()) {
            cluster.place(job, task++, 1, machine, 0);
            machine.lastReportS = 50;
        }
        cluster.machines.get("n-3").outOfContactSinceS = 30;
        assertEquals(List.of(), scaler.planReturns(50, 0));
        cluster.machines.get("n-3").outOfContactSinceS = 15;
        assertEquals(List.of("n-3"), scaler.planReturns(50, 0));
        cluster.machines.get("n-3").beingReturned = false;
        for (Machine machine : cluster.machines.values()) {
            machine.outOfContactSinceS = 15;
        }
        assertEquals(List.of(), scaler.planReturns(50, 0));
    }

    /** There are five machines in zone a, some of which are silent, and two reporting machines in zone b. */
    @ParameterizedTest(
            name = "{0} silent for {1} s, listed by the cloud {2}, then gone from the list {3}: {4} returned")
    @CsvSource({
        "1, 17, false, false, 1",
        "1, 17, true, false, 0",
        "1, 45, true, false, 1",
        "1, 7, true, true, 1",
        "3, 45, true, false, 0",
        "3, 170, true, false, 3",
        "3, 7, true, true, 3"
    })
    void silentMachinesAreKeptWhileTheCloudStillListsThem(
            int silent, double silentS, boolean listed, boolean gone, int returned) {
        for (int i = 0; i < 7; i++) {
            Fixtures.addMachine(cluster, "n-" + i, "small", i < 5 ? "a" : "b");
        }
        Job job = Fixtures.addJob(cluster, Fixtures.array("wk-000001", 7));
        int task = 0;
        for (Machine machine : cluster.machines.values()) {
            cluster.place(job, task++, 1, machine, 0);
            boolean isSilent = Integer.parseInt(machine.name.substring(2)) < silent;
            machine.lastReportS = isSilent ? 0 : silentS;
            if (isSilent && listed) {
                machine.listing = gone ? MachineListing.GONE : MachineListing.LISTED;
            }
        }
        assertEquals(returned, scaler.planReturns(silentS, 0).size());
    }

    @Test
    void doesNotRentInAZoneThatIsSilentAsAWhole() {
        for (int i = 0; i < 3; i++) {
            Fixtures.addMachine(cluster, "n-" + i, "small", "a").lastReportS = -50;
        }
        Fixtures.addJob(cluster, Fixtures.array("wk-000001", 6));
        List<RentalRequest> requests = scaler.planRentals(0, 0);
        assertFalse(requests.isEmpty());
        assertTrue(requests.stream().allMatch(request -> request.zone().equals("b")));
    }
}
