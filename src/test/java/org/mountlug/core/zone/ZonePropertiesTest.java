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
 * Tests invariants of a zone's state, its ramp and the displacement order over generated histories and jobs. Seeds are fixed;
 * a failure prints its seed, with which {@code @Property(seed = ...)} repeats it.
 */
class ZonePropertiesTest {
    private static final int MACHINES = 40;
    private static final ZoneThresholds THRESHOLDS = new ZoneThresholds(3, 0.5, 0.8, 0.25, 0.5, 3, 4, 60, 120);
    private static final RampSettings RAMP_SETTINGS = new RampSettings(0.1, 0.1, 0.5);

    /**
     * A part of a history with constant conditions.
     *
     * @param silent machines that are silent
     * @param inProgress starts in progress
     * @param newLeader whether a new leader takes over at the beginning
     */
    record Phase(
            int seconds, int silent, int inProgress, int succeededPerSecond, int lostPerSecond, boolean newLeader) {}

    @Provide
    Arbitrary<List<Phase>> histories() {
        Arbitrary<Integer> silent = Arbitraries.frequencyOf(
                Tuple.of(2, Arbitraries.just(0)),
                Tuple.of(2, Arbitraries.just(MACHINES)),
                Tuple.of(1, Arbitraries.integers().between(0, MACHINES)));
        Arbitrary<Integer> successes = Arbitraries.integers().between(0, 3);
        return Combinators.combine(
                        Arbitraries.integers().between(1, 30),
                        silent,
                        Arbitraries.integers().between(0, MACHINES),
                        successes,
                        Arbitraries.frequency(Tuple.of(4, 0), Tuple.of(1, 1)),
                        Arbitraries.frequency(Tuple.of(5, false), Tuple.of(1, true)))
                .as(Phase::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(40);
    }

    /** Replays a history on a tracker and checks the invariants each second. */
    private static final class HistoryReplay {
        private ZoneTracker tracker = new ZoneTracker("a", THRESHOLDS, RAMP_SETTINGS, 0);
        private double nowS;
        private long succeeded;
        private long lost;
        private int secondsReporting;
        private int secondsSilent;

        void run(Phase phase) {
            if (phase.newLeader) {
                ZoneState state = tracker.state();
                double returnAfterS = tracker.returnAfterS();
                tracker = new ZoneTracker(tracker.snapshot(nowS), THRESHOLDS, RAMP_SETTINGS, nowS);
                assertEquals(state, tracker.state());
                assertEquals(returnAfterS, tracker.returnAfterS());
                secondsReporting = 0;
            }
            for (int i = 0; i < phase.seconds; i++) {
                runSecond(phase);
            }
        }

        private void runSecond(Phase phase) {
            nowS++;
            succeeded += phase.succeededPerSecond;
            lost += phase.lostPerSecond;
            ZoneCounts counts = new ZoneCounts(MACHINES, MACHINES, MACHINES - phase.silent, phase.silent, phase.silent);
            ZoneEvidence evidence = ZoneEvidence.of(counts, true, THRESHOLDS);
            secondsSilent = evidence == ZoneEvidence.SILENT ? secondsSilent + 1 : 0;
            boolean reporting = evidence == ZoneEvidence.REPORTING || evidence == ZoneEvidence.PARTLY_SILENT;
            secondsReporting = reporting ? secondsReporting + 1 : 0;
            ZoneState previous = tracker.state();
            double returnAfterS = tracker.returnAfterS();
            double window = tracker.ramp() == null ? Double.NaN : tracker.ramp().window();
            tracker.observe(evidence, counts, new ZoneStarts(succeeded, lost, phase.inProgress), true, nowS);
            check(previous, returnAfterS, window, counts, phase);
        }

        private void check(
                ZoneState previous, double returnAfterS, double windowBefore, ZoneCounts counts, Phase phase) {
            ZoneState current = tracker.state();
            assertTrue(
                    current != ZoneState.LOST || previous != ZoneState.PRESENT,
                    "a present zone must become suspect before it is lost");
            if (current == ZoneState.RETURNING && previous == ZoneState.LOST) {
                assertTrue(
                        secondsReporting > returnAfterS,
                        "reporting for " + secondsReporting + " s, required are more than " + returnAfterS + " s");
            }
            if (current == ZoneState.LOST && previous == ZoneState.SUSPECT) {
                assertTrue(secondsSilent > THRESHOLDS.lostAfterS());
            }
            assertTrue(tracker.returnAfterS() <= THRESHOLDS.maxReturnAfterS());
            assertEquals(current == ZoneState.RETURNING, tracker.ramp() != null);
            if (tracker.ramp() == null) {
                return;
            }
            double window = tracker.ramp().window();
            assertTrue(window >= 1 && window <= Math.max(1, counts.reporting()) + 1e-9, "window " + window);
            if (!Double.isNaN(windowBefore)) {
                assertTrue(
                        window <= windowBefore + Math.ceil(RAMP_SETTINGS.growShare() * MACHINES),
                        "the window grows by at most one step");
                assertTrue(
                        phase.lostPerSecond == 0 || phase.newLeader || window <= Math.max(1, windowBefore / 2) + 1e-9);
            }
        }
    }

    @Property(tries = 500, seed = "20261202")
    void anyHistoryObeysTheTransitionsAndTheRamp(@ForAll("histories") List<Phase> history) {
        HistoryReplay replay = new HistoryReplay();
        history.forEach(replay::run);
        // After any history, a zone that reports and whose starts succeed is present again within a bounded time.
        int recoveryS =
                (int) (THRESHOLDS.maxReturnAfterS() + 2 + MACHINES / Math.ceil(RAMP_SETTINGS.growShare() * MACHINES))
                        + 10;
        replay.run(new Phase(recoveryS, 0, 0, 1, 0, false));
        assertEquals(ZoneState.PRESENT, replay.tracker.state());
        replay.run(new Phase(20 * (int) THRESHOLDS.lossExpiryS(), 0, 0, 0, 0, false));
        assertEquals(0, replay.tracker.recentLosses());
        assertEquals(false, replay.tracker.needsSnapshot());
    }

    @Provide
    Arbitrary<List<Job>> jobs() {
        Arbitrary<Job> job = Combinators.combine(
                        Arbitraries.integers().between(1, 999_999),
                        Arbitraries.of("proofs", "parts", "scores"),
                        Arbitraries.of(Priority.class),
                        Arbitraries.longs().between(0, 50))
                .as((number, jobClass, priority, submittedMs) -> new Job(Fixtures.withClassAndTeam(
                        Fixtures.spec("wk-" + number, JobType.ARRAY, 1, new Resources(1, 0, 1), priority),
                        jobClass,
                        "t",
                        submittedMs)));
        return job.list().ofMinSize(2).ofMaxSize(12);
    }

    /** The order is total and independent of the order of the input; no job precedes one of an earlier level. */
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

    /** A waiting job of one-CPU tasks, bound to a zone. */
    record WaitingJob(int tasks, String jobClass, Priority priority, String zone) {}

    @Provide
    Arbitrary<List<WaitingJob>> waiting() {
        return Combinators.combine(
                        Arbitraries.integers().between(1, 30),
                        Arbitraries.of("proofs", "parts", "scores"),
                        Arbitraries.of(Priority.STANDARD, Priority.HIGH),
                        Arbitraries.frequencyOf(
                                Tuple.of(3, Arbitraries.just("b")), Tuple.of(2, Arbitraries.of("a", "b"))))
                .as(WaitingJob::new)
                .list()
                .ofMinSize(2)
                .ofMaxSize(10);
    }

    /** No job is placed while an earlier job in the order, bound to the same zone, still has pending tasks. */
    @Property(tries = 200, seed = "20261202")
    void noRoundInvertsTheOrder(
            @ForAll("waiting") List<WaitingJob> waitingJobs,
            @ForAll("classes") List<String> classes,
            @ForAll @IntRange(min = 1, max = 8) int machinesLeft) {
        Cluster cluster = Fixtures.cluster(new Team("t", 0, 0, 0, 0, 1));
        ZoneSettings settings = new ZoneSettings(true, classes, THRESHOLDS, RAMP_SETTINGS);
        ZoneMonitor zones = new ZoneMonitor(cluster, settings, 10, 2);
        for (int i = 0; i < MACHINES; i++) {
            String zone = i < machinesLeft ? "b" : "a";
            Fixtures.addMachine(cluster, "n-" + i, "small", zone);
        }
        for (double nowS = 1; nowS < 20; nowS++) {
            for (int i = 0; i < machinesLeft; i++) {
                cluster.machines.get("n-" + i).lastReportS = nowS;
            }
            zones.observe(0, nowS);
        }
        List<Job> jobs = new ArrayList<>();
        for (WaitingJob waitingJob : waitingJobs) {
            JobSpec spec = Fixtures.spec(
                    "wk-" + jobs.size(), JobType.ARRAY, waitingJob.tasks, new Resources(1, 0, 1), waitingJob.priority);
            jobs.add(Fixtures.addJob(
                    cluster,
                    Fixtures.withZone(
                            Fixtures.withClassAndTeam(spec, waitingJob.jobClass, "t", jobs.size()), waitingJob.zone)));
        }
        ToDoubleFunction<Job> orderKey = job -> job.spec.submittedMs() % 3;
        new Allocator(cluster, zones, orderKey, new ReplicaStartTimes(job -> 8, 20), 20).allocate();
        DisplacementOrder order = zones.displacementOrder(orderKey);
        for (Job first : jobs) {
            for (Job later : jobs) {
                boolean sameZone = first.spec.zone().equals(later.spec.zone());
                if (sameZone && order.compare(first, later) < 0 && first.pendingTaskCount() > 0) {
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
