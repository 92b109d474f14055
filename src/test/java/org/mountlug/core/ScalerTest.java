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
import org.mountlug.Samples;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Aims;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.model.Urgency;
import org.mountlug.core.scale.Listed;
import org.mountlug.core.scale.Rental;
import org.mountlug.core.scale.Scaler;

/** What is rented and returned. */
class ScalerTest {
    private static final double KEEP = 20;
    private final Cluster c = Samples.cluster(new Team("t", 0, 40, 0, 0, 1));
    private final Scaler s = new Scaler(c, Samples.zones(c), new Aims(), 10, 2, KEEP, 1.15);

    @Test
    void workThatWaitsRentsTheCheapestKindAndNamesNeverRepeat() {
        Samples.live(c, Samples.array("wk-000001", 4));
        Set<String> names = new HashSet<>();
        for (int n = 0; n < 3; n++) {
            for (Rental r : s.rentals(n, 0)) {
                assertEquals("small", r.type());
                assertTrue(r.spot());
                assertTrue(names.add(r.name()));
            }
        }
        assertFalse(names.isEmpty());
    }

    @Test
    void machinesThatBootAreCountedOn() {
        Samples.live(c, Samples.array("wk-000001", 4));
        int n = 0;
        for (Rental r : s.rentals(0, 0)) {
            for (int i = 0; i < r.count(); i++) {
                c.rented("n-" + n++, r.type(), r.zone(), r.spot(), 0);
            }
        }
        assertTrue(n > 0);
        assertEquals(List.of(), s.rentals(1, 1));
    }

    private int order(double nowS) {
        int ordered = 0;
        for (Rental r : s.rentals(nowS, nowS)) {
            for (int i = 0; i < r.count(); i++) {
                c.rented("n-" + r.name() + "-" + i, r.type(), r.zone(), r.spot(), nowS);
                ordered++;
            }
        }
        return ordered;
    }

    private List<Machine> machines() {
        return List.copyOf(c.machines.values());
    }

    private void comesUp(Machine m, double nowS) {
        c.report(Samples.report(m.name, m.type.name(), m.zone, 1, 1, Samples.TOKEN), true, nowS);
    }

    /** An order that is overdue was taken for one that is up in a second, and what waited for it waited for minutes. */
    @ParameterizedTest(name = "after {0} s of a boot of 30: ordered again {1}")
    @CsvSource({"20, false", "40, false", "47, false", "50, true", "70, true"})
    void anOverdueOrderIsReplacedOnce(double afterS, boolean again) {
        Samples.live(c, Samples.array("wk-000001", 1));
        assertEquals(1, order(0));
        assertEquals(again ? 1 : 0, order(afterS));
        assertEquals(0, order(afterS + 1), "no order is paid for twice");
        machines().forEach(m -> comesUp(m, afterS + 2));
        assertEquals(0, order(afterS + 3));
        assertEquals(List.of(), s.returns(afterS + 3, 0), "what comes late is used, or returned once it is idle");
    }

    /** Where most orders of a kind are overdue, others are ordered instead, and the kind is tried again later. */
    @Test
    void aKindWhoseOrdersAreOverdueIsAvoidedForATime() {
        Samples.live(c, Samples.array("wk-000001", 24));
        assertTrue(order(0) >= 3);
        Set<String> late = new HashSet<>();
        machines().forEach(m -> late.add(m.type.name() + m.zone + m.spot));
        assertEquals(1, late.size());
        assertTrue(order(50) > 0);
        for (Machine m : machines()) {
            assertEquals(m.rentedS == 0, late.contains(m.type.name() + m.zone + m.spot), "another kind in its place");
        }
        double giveUpS = 30 * 2.2 + 16;
        s.returns(giveUpS, 0).forEach(name -> c.machineGone(name, giveUpS, "returned"));
        List<Machine> kept = machines();
        assertTrue(kept.stream().noneMatch(m -> m.rentedS == 0), "what never came up is returned");
        Samples.live(c, Samples.array("wk-000002", 40));
        order(giveUpS + 400);
        assertTrue(
                machines().stream().anyMatch(m -> late.contains(m.type.name() + m.zone + m.spot)),
                "the kind is tried again");
    }

    /** Of an earlier leader's orders only the late ones are to be seen, which says nothing of their kind. */
    @Test
    void ordersOfAnEarlierLeaderMakeNoKindSuspect() {
        c.listed(
                java.util.stream.IntStream.range(0, 5)
                        .mapToObj(i -> new Listed("n-" + i, "x:1", "small", "a", true, Listed.Status.BOOTING, 60))
                        .toList(),
                10,
                0);
        Samples.live(c, Samples.array("wk-000001", 1));
        Rental first = s.rentals(1, 1).get(0);
        assertEquals("small in a spot", first.kind().toString());
    }

    /** A kind that was seen to boot slowly is waited for longer, one that was not is given up in its time. */
    @ParameterizedTest(name = "others took {0} s: given up {1}")
    @CsvSource({"30, true", "90, false"})
    void observedBootTimesDecideWhenAnOrderIsGivenUp(double tookS, boolean givenUp) {
        for (int i = 0; i < 5; i++) {
            c.rented("n-" + i, "small", "a", false, 0);
        }
        machines().forEach(m -> comesUp(m, tookS));
        s.rentals(tookS, tookS);
        c.rented("n-late", "small", "a", false, 100);
        double at = 100 + 30 * 2.2 + 16;
        s.rentals(at, at);
        assertEquals(givenUp, s.returns(at, 0).contains("n-late"));
    }

    @Test
    void nothingIsRentedBeyondATeamsLimit() {
        Samples.live(c, Samples.spec("wk-000001", false, 1, new Resources(50, 0, 1), Urgency.HIGH));
        assertEquals(List.of(), s.rentals(0, 0));
    }

    @Test
    void aRefusedKindIsLeftAloneForAWhile() {
        Samples.live(c, Samples.array("wk-000001", 2));
        Rental r = s.rentals(0, 0).get(0);
        s.refused(r, 0);
        for (Rental again : s.rentals(1, 1)) {
            assertFalse(again.type().equals(r.type()) && again.zone().equals(r.zone()) && again.spot() == r.spot());
        }
    }

    @ParameterizedTest(name = "idle {0} s, spare {1}: returned {2}")
    @CsvSource({"10, true, false", "30, true, false", "60, true, true"})
    void theLastIdleMachineOfATypeIsKeptLonger(double idle, boolean spare, boolean gone) {
        Machine m = Samples.up(c, "n-1", "small", "a");
        m.heardS = idle;
        assertEquals(gone, s.returns(idle, 0).contains("n-1"));
    }

    @Test
    void aMachineThatNeverComesUpIsReturned() {
        c.rented("n-1", "small", "a", false, 0);
        assertEquals(List.of(), s.returns(60, 0));
        assertEquals(List.of("n-1"), s.returns(120, 0));
    }

    @Test
    void oneSilentMachineIsReturnedButNotWhenMostAreSilent() {
        for (int i = 0; i < 5; i++) {
            Samples.up(c, "n-" + i, "small", "a");
        }
        Job j = Samples.live(c, Samples.array("wk-000001", 5));
        int t = 0;
        for (Machine m : c.machines.values()) {
            c.place(j, t++, 1, m, 0);
        }
        for (Machine m : c.machines.values()) {
            m.heardS = m.name.equals("n-3") ? 0 : 30;
        }
        assertEquals(List.of("n-3"), s.returns(30, 0));
        for (Machine m : c.machines.values()) {
            m.heardS = 0;
        }
        c.machines.get("n-3").releasing = false;
        assertEquals(List.of(), s.returns(31, 0));
    }

    /** All of a gang runs at the same time, so a machine that could run its tasks one after another does not do. */
    @ParameterizedTest(name = "gang of {0}, machines up {1}: rents {2}")
    @CsvSource({"7, 0, 2", "7, 1, 1", "8, 2, 0", "3, 1, 0"})
    void aGangIsRentedForAsAWhole(int tasks, int up, int rented) {
        for (int i = 0; i < up; i++) {
            Samples.up(c, "n-" + i, "small", "a");
        }
        Samples.live(c, Samples.spec("wk-000001", true, tasks, new Resources(1, 0, 2), Urgency.HIGH));
        assertEquals(rented, s.rentals(1, 0).stream().mapToInt(Rental::count).sum());
    }

    @Test
    void aLargeQueueIsMetAtOnceInRequestsOfWhatOneMayName() {
        Cluster big = Samples.cluster(new Team("t", 0, 0, 0, 0, 1));
        Samples.live(big, Samples.array("wk-000001", 2000));
        List<Rental> l = new Scaler(big, Samples.zones(big), new Aims(), 10, 2, KEEP, 1.15).rentals(0, 250);
        assertTrue(l.stream().mapToInt(Rental::count).sum() > 100);
        assertTrue(l.stream().allMatch(r -> r.count() <= 50));
        assertEquals(l.size(), l.stream().map(Rental::name).distinct().count());
    }

    /** Its reports go on coming, so silence does not show it. */
    @Test
    void aMachineThatHearsNothingIsReturnedUnlessMostSeemSo() {
        for (int i = 0; i < 5; i++) {
            Samples.up(c, "n-" + i, "small", "a");
        }
        Job j = Samples.live(c, Samples.array("wk-000001", 5));
        int t = 0;
        for (Machine m : c.machines.values()) {
            c.place(j, t++, 1, m, 0);
            m.heardS = 50;
        }
        c.machines.get("n-3").unheardSinceS = 30;
        assertEquals(List.of(), s.returns(50, 0));
        c.machines.get("n-3").unheardSinceS = 15;
        assertEquals(List.of("n-3"), s.returns(50, 0));
        c.machines.get("n-3").releasing = false;
        for (Machine m : c.machines.values()) {
            m.unheardSinceS = 15;
        }
        assertEquals(List.of(), s.returns(50, 0));
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
            Samples.up(c, "n-" + i, "small", i < 5 ? "a" : "b");
        }
        Job j = Samples.live(c, Samples.array("wk-000001", 7));
        int t = 0;
        for (Machine m : c.machines.values()) {
            c.place(j, t++, 1, m, 0);
            boolean is = Integer.parseInt(m.name.substring(2)) < silent;
            m.heardS = is ? 0 : forS;
            if (is && listed) {
                m.listedS = 0;
            }
            m.unlisted = is && unlisted;
        }
        assertEquals(returned, s.returns(forS, 0).size());
    }

    @Test
    void nothingIsRentedInAZoneThatIsSilentAsAWhole() {
        for (int i = 0; i < 3; i++) {
            Samples.up(c, "n-" + i, "small", "a").heardS = -50;
        }
        Samples.live(c, Samples.array("wk-000001", 6));
        List<Rental> l = s.rentals(0, 0);
        assertFalse(l.isEmpty());
        assertTrue(l.stream().allMatch(r -> r.zone().equals("b")));
    }
}
