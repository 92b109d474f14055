package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mountlug.Constants;
import org.mountlug.core.admit.QueueId;
import org.mountlug.node.LoadGenerator.LoadPhase;

/**
 * Replays a repeating load with random faults against five controllers: team a overloads one class, team c submits in bursts,
 * teams b and d submit at a steady rate. Builds run six minutes; an hour with several seeds is run by {@code mvn -B test
 * -Dtest=AdmissionReplayTest -Dmountlug.replay.minutes=60 -Dmountlug.replay.seeds=5}.
 */
class AdmissionReplayTest {
    /** Seconds after which the load repeats. */
    private static final double PERIOD_S = 180;

    private static final double PROBE_INTERVAL_S = 20;
    private static final double FAULT_INTERVAL_S = 90;
    /** Requests that the state service may refuse per minute, with faults. */
    private static final double MAX_RATE_LIMITED_PER_MINUTE = 30;

    /** Factor on a cursor's lap time in the bound, for random variation of the submissions in a lap. */
    private static final double BOUND_MARGIN = 1.5;

    private static final List<AdmissionFault> FAULTS = List.of(
            AdmissionFault.NONE,
            AdmissionFault.LEADER_RESTARTS_TWICE,
            AdmissionFault.WRITE_RESPONSES_LOST,
            AdmissionFault.WRITES_DELAYED,
            AdmissionFault.STATE_SERVICE_REFUSES_FOLLOWER,
            AdmissionFault.STATE_SERVICE_REFUSES_LEADER,
            AdmissionFault.FOLLOWER_PAUSED,
            AdmissionFault.LEADER_PAUSED,
            AdmissionFault.STATE_SERVICE_OUTAGE,
            AdmissionFault.ALL_CONTROLLERS_RESTART);

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("mountlug.replay.seeds", 1));
    }

    /** Returns each queue's highest submissions per second, as the sum of all its phases. */
    private static Map<QueueId, Double> peakRates(List<LoadPhase> phases) {
        Map<QueueId, Double> peakRates = new HashMap<>();
        phases.forEach(phase -> peakRates.merge(phase.queue(), phase.ratePerS(), Double::sum));
        return peakRates;
    }

    /** Returns the phases of one period of the load. */
    private static List<LoadPhase> period(double startS) {
        return List.of(
                LoadPhase.of("a", "sims", 12, startS + 20, startS + 80),
                LoadPhase.of("a", "training", 0.2, startS, startS + PERIOD_S),
                LoadPhase.of("b", "proofs", 0.4, startS, startS + PERIOD_S),
                LoadPhase.of("c", "sims", 0.2, startS, startS + PERIOD_S),
                LoadPhase.of("c", "sims", 6, startS + 60, startS + 75),
                LoadPhase.of("d", "services", 0.05, startS, startS + PERIOD_S));
    }

    /**
     * Returns the seconds within which a submission is accepted if its user retries as responses name it, by the formula of
     * {@code docs/admission.md}: a lap of the cursor at the queue's smallest share of the capacity, and the retries after
     * responses without a decision.
     */
    private static double boundS(QueueId queue, Map<QueueId, Double> peakRates) {
        double capacity = 25 * Constants.Admission.PLANNED_SHARE / (1 + Constants.Admission.MIN_WRITES_PER_JOB);
        long teams = peakRates.keySet().stream().map(QueueId::team).distinct().count();
        long classes = peakRates.keySet().stream()
                .filter(other -> other.team().equals(queue.team()))
                .count();
        double queueCapacity = capacity / teams / classes;
        double peakRatePerS = peakRates.get(queue);
        double undecidedS = Constants.Admission.MAX_DRAIN_S + Constants.Admission.UNDECIDED_RETRY_SPREAD_S;
        if (peakRatePerS <= queueCapacity) {
            return undecidedS;
        }
        double retryPeriodS = Constants.Admission.USER_GIVE_UP_S
                + Constants.Admission.FLOOD_ONSET_S
                + Constants.Admission.TURN_DURATION_MS / 1000.0;
        double lapS = peakRatePerS * retryPeriodS / (queueCapacity * Constants.Admission.TARGET_SHARE);
        return undecidedS + Constants.Admission.SCHEDULE_HORIZON_MS / 1000.0 + lapS * BOUND_MARGIN;
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void probesOfEveryQueueAreAcceptedWithinTheBound(int seed) {
        double durationS = 60.0 * Integer.getInteger("mountlug.replay.minutes", 6);
        SimulatedCluster cluster =
                LoadGenerator.startCluster(5, LoadGenerator.operatorsWithAdmission(), "a", "b", "c", "d");
        LoadGenerator load = new LoadGenerator(cluster, seed);
        SplittableRandom random = new SplittableRandom(seed);
        List<LoadPhase> phases = new ArrayList<>();
        for (double atS = 0; atS < durationS; atS += PERIOD_S) {
            phases.addAll(period(atS));
        }
        load.schedule(phases);
        Map<QueueId, Double> peakRates = peakRates(period(0));
        for (double atS = 5; atS < durationS; atS += PROBE_INTERVAL_S) {
            peakRates.keySet().forEach(load::submitProbe);
            if (Math.floor(atS / FAULT_INTERVAL_S) > Math.floor((atS - PROBE_INTERVAL_S) / FAULT_INTERVAL_S)) {
                FAULTS.get(random.nextInt(FAULTS.size())).injection.accept(load);
            }
            cluster.runFor(PROBE_INTERVAL_S);
        }
        cluster.runFor(PERIOD_S);
        peakRates.keySet().forEach(queue -> {
            LoadGenerator.QueueStatistics statistics = load.statistics(queue);
            double faultS = AdmissionFault.STATE_SERVICE_OUTAGE.unavailableS + Constants.Admission.OUTAGE_RECOVERY_S;
            double boundS = boundS(queue, peakRates) + faultS;
            System.out.printf(
                    "replay, seed %d, %.0f min, %s/%s: %d of %d accepted, %d abandoned, slowest %.1f s, slowest probe %.1f s, bound %.1f s%n",
                    seed,
                    durationS / 60,
                    queue.team(),
                    queue.jobClass(),
                    statistics.accepted,
                    statistics.submitted,
                    statistics.abandoned,
                    statistics.slowestAcceptanceS,
                    statistics.slowestProbeS,
                    boundS);
            assertTrue(
                    statistics.slowestProbeS <= boundS,
                    queue + ": slowest probe " + statistics.slowestProbeS + " s, bound " + boundS);
        });
        System.out.printf(
                "replay, seed %d: %d requests refused by the state service, %d final turns missed%n",
                seed, cluster.stateService.rateLimitedRequests, load.missedFinalTurns);
        assertTrue(
                cluster.stateService.rateLimitedRequests <= MAX_RATE_LIMITED_PER_MINUTE * durationS / 60,
                "requests refused by the state service: " + cluster.stateService.rateLimitedRequests);
        assertEquals(0, load.longestOpenProbeS(), "all probes are accepted");
        assertEquals(List.of(), load.violations);
        assertEquals(List.of(), cluster.violations());
    }
}
