package org.mountlug.core.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.ToDoubleFunction;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import org.mountlug.Fixtures;
import org.mountlug.core.allocate.Allocator;
import org.mountlug.core.allocate.ReplicaStartTimes;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/**
 * What holds of a zone's state, its ramp and the displacement order for any history. Seeds are fixed; a failure names its own,
 * which {@code @Property(seed = ...)} runs again.
 */
class ZonePropertiesTest {
    private static final int MACHINES = 40;
    private static final ZoneThresholds THRESHOLDS = new ZoneThresholds(3, 0.5, 0.8, 0.25, 0.5, 3, 4, 60, 120);
    private static final RampSettings LIMITS = new RampSettings(0.1, 0.1, 0.5);

    /** Some seconds of the same: machines silent, starts under way, starts that succeed and that are lost each second. */
    record Stretch(int seconds, int silent, int underWay, int succeed, int lose, boolean newLeader) {}

    @Provide
    Arbitrary<List<Stretch>> histories() {
        Arbitrary<Integer> silent = Arbitraries.frequencyOf(
                Tuple.of(2, Arbitraries.just(0)),
                Tuple.of(2, Arbitraries.just(MACHINES)),
                Tuple.of(1, Arbitraries.integers().between(0, MACHINES)));
        Arbitrary<Integer> few = Arbitraries.integers().between(0, 3);
        return Combinators.combine(
                        Arbitraries.integers().between(1, 30),
                        silent,
                        Arbitraries.integers().between(0, MACHINES),
                        few,
                        Arbitraries.frequency(Tuple.of(4, 0), Tuple.of(1, 1)),
                        Arbitraries.frequency(Tuple.of(5, false), Tuple.of(1, true)))
                .as(Stretch::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(40);
    }

    /** Plays a history; what must hold is looked at each second. */
    private static final class Play {
        private ZoneTracker tracker = new ZoneTracker("a", THRESHOLDS, LIMITS, 0);
        private double nowS;
        private long succeeded;
        private long lost;
        private int secondsHeard;
        private int secondsSilent;

        void stretch(Stretch stretch) {
            if (stretch.newLeader) {
                ZoneState state = tracker.state();
                double hold = tracker.returnAfterS();
                tracker = new ZoneTracker(tracker.snapshot(nowS), THRESHOLDS, LIMITS, nowS);
                assertEquals(state, tracker.state());
                assertEquals(hold, tracker.returnAfterS());
                secondsHeard = 0;
            }
            for (int i = 0; i < stretch.seconds; i++) {
                second(stretch);
            }
        }

        private void second(Stretch stretch) {
            nowS++;
            succeeded += stretch.succeed;
            lost += stretch.lose;
            ZoneCounts counts =
                    new ZoneCounts(MACHINES, MACHINES, MACHINES - stretch.silent, stretch.silent, stretch.silent);
            ZoneEvidence evidence = ZoneEvidence.of(counts, true, THRESHOLDS);
            secondsSilent = evidence == ZoneEvidence.SILENT ? secondsSilent + 1 : 0;
            boolean heard = evidence == ZoneEvidence.REPORTING || evidence == ZoneEvidence.PARTLY_SILENT;
            secondsHeard = heard ? secondsHeard + 1 : 0;
            ZoneState before = tracker.state();
            double holdS = tracker.returnAfterS();
            double window = tracker.ramp() == null ? Double.NaN : tracker.ramp().window();
            tracker.observe(evidence, counts, new ZoneStarts(succeeded, lost, stretch.underWay), true, nowS);
            check(before, holdS, window, counts, stretch);
        }

        private void check(ZoneState before, double holdS, double windowBefore, ZoneCounts counts, Stretch stretch) {
            ZoneState now = tracker.state();
            assertTrue(now != ZoneState.LOST || before != ZoneState.PRESENT, "never lost without being suspect first");
            if (now == ZoneState.RETURNING && before == ZoneState.LOST) {
                assertTrue(secondsHeard > holdS, "heard for " + secondsHeard + " s, must be " + holdS);
            }
            if (now == ZoneState.LOST && before == ZoneState.SUSPECT) {
                assertTrue(secondsSilent > THRESHOLDS.lostAfterS());
            }
            assertTrue(tracker.returnAfterS() <= THRESHOLDS.maxReturnAfterS());
            assertEquals(now == ZoneState.RETURNING, tracker.ramp() != null);
            if (tracker.ramp() == null) {
                return;
            }
            double window = tracker.ramp().window();
            assertTrue(window >= 1 && window <= Math.max(1, counts.reporting()) + 1e-9, "window " + window);
            if (!Double.isNaN(windowBefore)) {
                assertTrue(window <= windowBefore + Math.ceil(LIMITS.growShare() * MACHINES), "by addition");
                assertTrue(stretch.lose == 0 || stretch.newLeader || window <= Math.max(1, windowBefore / 2) + 1e-9);
            }
        }
    }

    @Property(tries = 500, seed = "20261202")
    void anyHistoryKeepsToTheTableAndTheRamp(@ForAll("histories") List<Stretch> history) {
        Play play = new Play();
        history.forEach(play::stretch);
        // Whatever came before, a zone that is heard and takes its starts is present again within a bound.
        int calmS = (int) (THRESHOLDS.maxReturnAfterS() + 2 + MACHINES / Math.ceil(LIMITS.growShare() * MACHINES)) + 10;
        play.stretch(new Stretch(calmS, 0, 0, 1, 0, false));
        assertEquals(ZoneState.PRESENT, play.tracker.state());
        play.stretch(new Stretch(20 * (int) THRESHOLDS.lossExpiryS(), 0, 0, 0, 0, false));
        assertEquals(0, play.tracker.recentLosses());
        assertEquals(false, play.tracker.needsSnapshot());
    }

    @Provide
    Arbitrary<List<Job>> jobs() {
        Arbitrary<Job> job = Combinators.combine(
                        Arbitraries.integers().between(1, 999_999),
                        Arbitraries.of("proofs", "parts", "scores"),
                        Arbitraries.of(Priority.class),
                        Arbitraries.longs().between(0, 50))
                .as((number, lane, urgency, submitted) -> new Job(Fixtures.withClassAndTeam(
                        Fixtures.spec("wk-" + number, JobType.ARRAY, 1, new Resources(1, 0, 1), urgency),
                        lane,
                        "t",
                        submitted)));
        return job.list().ofMinSize(2).ofMaxSize(12);
    }

    /** The order is total and does not depend on how the jobs came; no level goes ahead of an earlier one. */
    @Property(tries = 300, seed = "20261202")
    void theDisplacementOrderIsTotal(@ForAll("jobs") List<Job> jobs, @ForAll("classes") List<String> classes) {
        DisplacementOrder order = new DisplacementOrder(classes, job -> job.spec.submittedMs() % 7);
        List<Job> sorted = new ArrayList<>(jobs);
        sorted.sort(order);
        List<Job> reversed = new ArrayList<>(jobs);
        Collections.reverse(reversed);
        reversed.sort(order);
        for (int i = 0; i < sorted.size(); i++) {
            assertEquals(0, order.compare(sorted.get(i), reversed.get(i)));
            if (i > 0) {
                assertTrue(order.level(sorted.get(i - 1)) <= order.level(sorted.get(i)));
                assertTrue(order.compare(sorted.get(i - 1), sorted.get(i)) <= 0);
                assertEquals(
                        Integer.signum(order.compare(sorted.get(0), sorted.get(i))),
                        -Integer.signum(order.compare(sorted.get(i), sorted.get(0))));
            }
        }
    }

    /** A job of one-CPU tasks in one of three classes, bound to a zone or to none. */
    record Waiting(int tasks, String lane, Priority urgency, String site) {}

    @Provide
    Arbitrary<List<Waiting>> waiting() {
        return Combinators.combine(
                        Arbitraries.integers().between(1, 30),
                        Arbitraries.of("proofs", "parts", "scores"),
                        Arbitraries.of(Priority.STANDARD, Priority.HIGH),
                        Arbitraries.frequencyOf(
                                Tuple.of(3, Arbitraries.just("b")), Tuple.of(2, Arbitraries.of("a", "b"))))
                .as(Waiting::new)
                .list()
                .ofMinSize(2)
                .ofMaxSize(10);
    }

    /** Of jobs that fit the same room none gets any while one that goes before it in the order still waits for some. */
    @Property(tries = 200, seed = "20261202")
    void noRoundInvertsTheOrder(
            @ForAll("waiting") List<Waiting> waiting,
            @ForAll("classes") List<String> classes,
            @ForAll @IntRange(min = 1, max = 8) int machinesLeft) {
        Cluster cluster = Fixtures.cluster(new Team("t", 0, 0, 0, 0, 1));
        ZoneSettings settings = new ZoneSettings(true, classes, THRESHOLDS, LIMITS);
        ZoneMonitor zones = new ZoneMonitor(cluster, settings, 10, 2);
        for (int i = 0; i < MACHINES; i++) {
            String zone = i < machinesLeft ? "b" : "a";
            Fixtures.addMachine(cluster, "n-" + i, "small", zone);
        }
        for (double now = 1; now < 20; now++) {
            for (int i = 0; i < machinesLeft; i++) {
                cluster.machines.get("n-" + i).lastReportS = now;
            }
            zones.observe(0, now);
        }
        List<Job> jobs = new ArrayList<>();
        for (Waiting each : waiting) {
            JobSpec spec =
                    Fixtures.spec("wk-" + jobs.size(), JobType.ARRAY, each.tasks, new Resources(1, 0, 1), each.urgency);
            jobs.add(Fixtures.addJob(
                    cluster,
                    Fixtures.withZone(Fixtures.withClassAndTeam(spec, each.lane, "t", jobs.size()), each.site)));
        }
        ToDoubleFunction<Job> due = job -> job.spec.submittedMs() % 3;
        new Allocator(cluster, zones, due, new ReplicaStartTimes(job -> 8, 20), 20).allocate();
        DisplacementOrder order = zones.displacementOrder(due);
        for (Job first : jobs) {
            for (Job later : jobs) {
                boolean sameRoom = first.spec.zone().equals(later.spec.zone());
                if (sameRoom && order.compare(first, later) < 0 && first.pendingTaskCount() > 0) {
                    assertEquals(0, later.placements.size(), later.spec + " went ahead of " + first.spec);
                }
            }
        }
        for (Job job : jobs) {
            assertTrue(job.placements.values().stream().noneMatch(placement -> placement.zone.equals("a")));
        }
    }

    @Provide
    Arbitrary<List<String>> classes() {
        return Arbitraries.of("proofs", "parts", "scores")
                .list()
                .uniqueElements()
                .ofMaxSize(3);
    }
}
