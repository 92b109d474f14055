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
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Objectives;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.scale.ListedMachine;
import org.mountlug.core.scale.RentalRequest;
import org.mountlug.core.scale.Scaler;

/** What is rented and returned. */
class ScalerTest {
    private static final double KEEP = 20;
    private final Cluster c = Fixtures.cluster(new Team("t", 0, 40, 0, 0, 1));
    private final Scaler s = new Scaler(c, Fixtures.untrackedZones(c), new Objectives(), 10, 2, KEEP, 1.15);

    @Test
    void workThatWaitsRentsTheCheapestKindAndNamesNeverRepeat() {
        Fixtures.addJob(c, Fixtures.array("wk-000001", 4));
        Set<String> names = new HashSet<>();
        for (int n = 0; n < 3; n++) {
            for (RentalRequest r : s.planRentals(n, 0)) {
                assertEquals("small", r.type());
                assertTrue(r.spot());
                assertTrue(names.add(r.name()));
            }
        }
        assertFalse(names.isEmpty());
    }

    @Test
    void machinesThatBootAreCountedOn() {
        Fixtures.addJob(c, Fixtures.array("wk-000001", 4));
        int n = 0;
        for (RentalRequest r : s.planRentals(0, 0)) {
            for (int i = 0; i < r.count(); i++) {
                c.addRentedMachine("n-" + n++, r.type(), r.zone(), r.spot(), 0);
            }
        }
        assertTrue(n > 0);
        assertEquals(List.of(), s.planRentals(1, 1));
    }

    private int order(double nowS) {
        int ordered = 0;
        for (RentalRequest r : s.planRentals(nowS, nowS)) {
            for (int i = 0; i < r.count(); i++) {
                c.addRentedMachine("n-" + r.name() + "-" + i, r.type(), r.zone(), r.spot(), nowS);
                ordered++;
            }
        }
        return ordered;
    }

    private List<Machine> machines() {
        return List.copyOf(c.machines.values());
    }

    private void comesUp(Machine m, double nowS) {
        c.handleReport(Fixtures.report(m.name, m.type.name(), m.zone, 1, 1, Fixtures.TOKEN), true, nowS);
    }

    /** An order that is overdue was taken for one that is up in a second, and what waited for it waited for minutes. */
    @ParameterizedTest(name = "after {0} s of a boot of 30: ordered again {1}")
    @CsvSource({"20, false", "40, false", "47, false", "50, true", "70, true"})
    void anOverdueOrderIsReplacedOnce(double afterS, boolean again) {
        Fixtures.addJob(c, Fixtures.array("wk-000001", 1));
        assertEquals(1, order(0));
        assertEquals(again ? 1 : 0, order(afterS));
        assertEquals(0, order(afterS + 1), "no order is paid for twice");
        machines().forEach(m -> comesUp(m, afterS + 2));
        assertEquals(0, order(afterS + 3));
        assertEquals(List.of(), s.planReturns(afterS + 3, 0), "what comes late is used, or returned once it is idle");
    }

    /** Where most orders of a kind are overdue, others are ordered instead, and the kind is tried again later. */
    @Test
    void aKindWhoseOrdersAreOverdueIsAvoidedForATime() {
        Fixtures.addJob(c, Fixtures.array("wk-000001", 24));
        assertTrue(order(0) >= 3);
        Set<String> late = new HashSet<>();
        machines().forEach(m -> late.add(m.type.name() + m.zone + m.spot));
        assertEquals(1, late.size());
        assertTrue(order(50) > 0);
        for (Machine m : machines()) {
            assertEquals(m.rentedS == 0, late.contains(m.type.name() + m.zone + m.spot), "another kind in its place");
        }
        double giveUpS = 30 * 2.2 + 16;
        s.planReturns(giveUpS, 0).forEach(name -> c.recordMachineGone(name, giveUpS, "returned"));
        List<Machine> kept = machines();
        assertTrue(kept.stream().noneMatch(m -> m.rentedS == 0), "what never came up is returned");
        Fixtures.addJob(c, Fixtures.array("wk-000002", 40));
        order(giveUpS + 400);
        assertTrue(
                machines().stream().anyMatch(m -> late.contains(m.type.name() + m.zone + m.spot)),
                "the kind is tried again");
    }

    /** Of an earlier leader's orders only the late ones are to be seen, which says nothing of their kind. */
    @Test
    void ordersOfAnEarlierLeaderMakeNoKindSuspect() {
        c.applyMachineList(
                java.util.stream.IntStream.range(0, 5)
                        .mapToObj(i -> new ListedMachine(
                                "n-" + i, "x:1", "small", "a", true, ListedMachine.Status.BOOTING, 60))
                        .toList(),
                10,
                0);
        Fixtures.addJob(c, Fixtures.array("wk-000001", 1));
        RentalRequest first = s.planRentals(1, 1).get(0);
        assertEquals("small in a spot", first.pool().toString());
    }

    /** A kind that was seen to boot slowly is waited for longer, one that was not is given up in its time. */
    @ParameterizedTest(name = "others took {0} s: given up {1}")
    @CsvSource({"30, true", "90, false"})
    void observedBootTimesDecideWhenAnOrderIsGivenUp(double tookS, boolean givenUp) {
        for (int i = 0; i < 5; i++) {
            c.addRentedMachine("n-" + i, "small", "a", false, 0);
        }
        machines().forEach(m -> comesUp(m, tookS));
        s.planRentals(tookS, tookS);
        c.addRentedMachine("n-late", "small", "a", false, 100);
        double at = 100 + 30 * 2.2 + 16;
        s.planRentals(at, at);
        assertEquals(givenUp, s.planReturns(at, 0).contains("n-late"));
    }

    @Test
    void nothingIsRentedBeyondATeamsLimit() {
        Fixtures.addJob(c, Fixtures.spec("wk-000001", false, 1, new Resources(50, 0, 1), Priority.HIGH));
        assertEquals(List.of(), s.planRentals(0, 0));
    }

    @Test
    void aRefusedKindIsLeftAloneForAWhile() {
        Fixtures.addJob(c, Fixtures.array("wk-000001", 2));
        RentalRequest r = s.planRentals(0, 0).get(0);
        s.recordRefused(r, 0);
        for (RentalRequest again : s.planRentals(1, 1)) {
            assertFalse(again.type().equals(r.type()) && again.zone().equals(r.zone()) && again.spot() == r.spot());
        }
    }

    @ParameterizedTest(name = "idle {0} s, spare {1}: returned {2}")
    @CsvSource({"10, true, false", "30, true, false", "60, true, true"})
    void theLastIdleMachineOfATypeIsKeptLonger(double idle, boolean spare, boolean gone) {
        Machine m = Fixtures.addMachine(c, "n-1", "small", "a");
        m.lastReportS = idle;
        assertEquals(gone, s.planReturns(idle, 0).contains("n-1"));
    }

    @Test
    void aMachineThatNeverComesUpIsReturned() {
        c.addRentedMachine("n-1", "small", "a", false, 0);
        assertEquals(List.of(), s.planReturns(60, 0));
        assertEquals(List.of("n-1"), s.planReturns(120, 0));
    }

    @Test
    void oneSilentMachineIsReturnedButNotWhenMostAreSilent() {
        for (int i = 0; i < 5; i++) {
            Fixtures.addMachine(c, "n-" + i, "small", "a");
        }
        Job j = Fixtures.addJob(c, Fixtures.array("wk-000001", 5));
        int t = 0;
        for (Machine m : c.machines.values()) {
            c.place(j, t++, 1, m, 0);
        }
        for (Machine m : c.machines.values()) {
            m.lastReportS = m.name.equals("n-3") ? 0 : 30;
        }
        assertEquals(List.of("n-3"), s.planReturns(30, 0));
        for (Machine m : c.machines.values()) {
            m.lastReportS = 0;
        }
        c.machines.get("n-3").beingReturned = false;
        assertEquals(List.of(), s.planReturns(31, 0));
    }

    /** All of a gang runs at the same time, so a machine that could run its tasks one after another does not do. */
    @ParameterizedTest(name = "gang of {0}, machines up {1}: rents {2}")
    @CsvSource({"7, 0, 2", "7, 1, 1", "8, 2, 0", "3, 1, 0"})
    void aGangIsRentedForAsAWhole(int tasks, int up, int rented) {
        for (int i = 0; i < up; i++) {
            Fixtures.addMachine(c, "n-" + i, "small", "a");
        }
        Fixtures.addJob(c, Fixtures.spec("wk-000001", true, tasks, new Resources(1, 0, 2), Priority.HIGH));
        assertEquals(
                rented,
                s.planRentals(1, 0).stream().mapToInt(RentalRequest::count).sum());
    }

    @Test
    void aLargeQueueIsMetAtOnceInRequestsOfWhatOneMayName() {
        Cluster big = Fixtures.cluster(new Team("t", 0, 0, 0, 0, 1));
        Fixtures.addJob(big, Fixtures.array("wk-000001", 2000));
        List<RentalRequest> l =
                new Scaler(big, Fixtures.untrackedZones(big), new Objectives(), 10, 2, KEEP, 1.15).planRentals(0, 250);
        assertTrue(l.stream().mapToInt(RentalRequest::count).sum() > 100);
        assertTrue(l.stream().allMatch(r -> r.count() <= 50));
        assertEquals(l.size(), l.stream().map(RentalRequest::name).distinct().count());
    }

    /** Its reports go on coming, so silence does not show it. */
    @Test
    void aMachineThatHearsNothingIsReturnedUnlessMostSeemSo() {
        for (int i = 0; i < 5; i++) {
            Fixtures.addMachine(c, "n-" + i, "small", "a");
        }
        Job j = Fixtures.addJob(c, Fixtures.array("wk-000001", 5));
        int t = 0;
        for (Machine m : c.machines.values()) {
            c.place(j, t++, 1, m, 0);
            m.lastReportS = 50;
        }
        c.machines.get("n-3").outOfContactSinceS = 30;
        assertEquals(List.of(), s.planReturns(50, 0));
        c.machines.get("n-3").outOfContactSinceS = 15;
        assertEquals(List.of("n-3"), s.planReturns(50, 0));
        c.machines.get("n-3").beingReturned = false;
        for (Machine m : c.machines.values()) {
            m.outOfContactSinceS = 15;
        }
        assertEquals(List.of(), s.planReturns(50, 0));
    }

    /** Five machines of zone a and two of zone b; so many of a have been silent for so long. */
    @ParameterizedTest(name = "{0} silent for {1} s, listed {2}, then unlisted {3}: returned {4}")
    @CsvSource({
        "1, 17, false, false, 1",
        "1, 17, true, false, 0",
        "1, 45, true, false, 1",
        "1, 7, true, true, 1",
        "3, 45, true, false, 0",
        "3, 170, true, false, 3",
        "3, 7, true, true, 3"
    })
    void silentMachinesAreWaitedForWhileTheCloudStillListsThem(
            int silent, double forS, boolean listed, boolean unlisted, int returned) {
        for (int i = 0; i < 7; i++) {
            Fixtures.addMachine(c, "n-" + i, "small", i < 5 ? "a" : "b");
        }
        Job j = Fixtures.addJob(c, Fixtures.array("wk-000001", 7));
        int t = 0;
        for (Machine m : c.machines.values()) {
            c.place(j, t++, 1, m, 0);
            boolean is = Integer.parseInt(m.name.substring(2)) < silent;
            m.lastReportS = is ? 0 : forS;
            if (is && listed) {
                m.firstListedS = 0;
            }
            m.unlisted = is && unlisted;
        }
        assertEquals(returned, s.planReturns(forS, 0).size());
    }

    @Test
    void nothingIsRentedInAZoneThatIsSilentAsAWhole() {
        for (int i = 0; i < 3; i++) {
            Fixtures.addMachine(c, "n-" + i, "small", "a").lastReportS = -50;
        }
        Fixtures.addJob(c, Fixtures.array("wk-000001", 6));
        List<RentalRequest> l = s.planRentals(0, 0);
        assertFalse(l.isEmpty());
        assertTrue(l.stream().allMatch(r -> r.zone().equals("b")));
    }
}
