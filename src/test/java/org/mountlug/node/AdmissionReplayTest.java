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
 * The minutes before a freeze, again and again, against five controllers that fail: team a floods in one class, team c in bursts,
 * b and d go on as ever. Six minutes with every build; an hour with several seeds by hand: {@code mvn -B test
 * -Dtest=AdmissionReplayTest -Dmountlug.replay.minutes=60 -Dmountlug.replay.seeds=5}.
 */
class AdmissionReplayTest {
    private static final double PERIOD_S = 180;
    private static final double PROBE_S = 20;
    private static final double FAULT_S = 90;
    /** Requests that the state service may refuse in a minute, faults included. */
    private static final double LIMITED_A_MINUTE = 30;

    /** Noise of what a cursor meets, over the seconds in which it is counted, as a factor on the bound. */
    private static final double BOUND_MARGIN = 1.5;

    private static final List<AdmissionFault> TROUBLES = List.of(
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

    /** Every submission a second that each queue is asked for at its highest. */
    private static Map<QueueId, Double> highest(List<LoadPhase> flows) {
        Map<QueueId, Double> highest = new HashMap<>();
        flows.forEach(flow -> highest.merge(flow.queue(), flow.ratePerS(), Double::sum));
        return highest;
    }

    private static List<LoadPhase> period(double atS) {
        return List.of(
                LoadPhase.of("a", "sims", 12, atS + 20, atS + 80),
                LoadPhase.of("a", "training", 0.2, atS, atS + PERIOD_S),
                LoadPhase.of("b", "proofs", 0.4, atS, atS + PERIOD_S),
                LoadPhase.of("c", "sims", 0.2, atS, atS + PERIOD_S),
                LoadPhase.of("c", "sims", 6, atS + 60, atS + 75),
                LoadPhase.of("d", "services", 0.05, atS, atS + PERIOD_S));
    }

    /**
     * Seconds within which a submission of the queue is taken in whose user comes back as told, by the formula of the page on
     * admission: a lap of the cursor at the pace of the queue's least part, and what the faults take.
     */
    private static double boundS(QueueId queue, Map<QueueId, Double> highest) {
        double capacity = 25 * Constants.Admission.PLANNED_SHARE / (1 + Constants.Admission.MIN_WRITES_PER_JOB);
        long teams = highest.keySet().stream().map(QueueId::team).distinct().count();
        long classes = highest.keySet().stream()
                .filter(other -> other.team().equals(queue.team()))
                .count();
        double part = capacity / teams / classes;
        double askedPerS = highest.get(queue);
        double undecidedS = Constants.Admission.MAX_DRAIN_S + Constants.Admission.UNDECIDED_RETRY_SPREAD_S;
        if (askedPerS <= part) {
            return undecidedS;
        }
        double presentS = Constants.Admission.USER_GIVE_UP_S
                + Constants.Admission.FLOOD_ONSET_S
                + Constants.Admission.TURN_DURATION_MS / 1000.0;
        double lapS = askedPerS * presentS / (part * Constants.Admission.TARGET_SHARE);
        return undecidedS + Constants.Admission.SCHEDULE_HORIZON_MS / 1000.0 + lapS * BOUND_MARGIN;
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void everyTeamsOldestSubmissionIsTakenInWithinTheBound(int seed) {
        double forS = 60.0 * Integer.getInteger("mountlug.replay.minutes", 6);
        SimulatedCluster world =
                LoadGenerator.startCluster(5, LoadGenerator.operatorsWithAdmission(), "a", "b", "c", "d");
        LoadGenerator flood = new LoadGenerator(world, seed);
        SplittableRandom random = new SplittableRandom(seed);
        List<LoadPhase> flows = new ArrayList<>();
        for (double atS = 0; atS < forS; atS += PERIOD_S) {
            flows.addAll(period(atS));
        }
        flood.schedule(flows);
        Map<QueueId, Double> highest = highest(period(0));
        for (double atS = 5; atS < forS; atS += PROBE_S) {
            highest.keySet().forEach(flood::submitProbe);
            if (Math.floor(atS / FAULT_S) > Math.floor((atS - PROBE_S) / FAULT_S)) {
                TROUBLES.get(random.nextInt(TROUBLES.size())).injection.accept(flood);
            }
            world.runFor(PROBE_S);
        }
        world.runFor(PERIOD_S);
        highest.keySet().forEach(queue -> {
            LoadGenerator.QueueStatistics outcome = flood.statistics(queue);
            double faultS = AdmissionFault.STATE_SERVICE_OUTAGE.unavailableS + Constants.Admission.OUTAGE_RECOVERY_S;
            double boundS = boundS(queue, highest) + faultS;
            System.out.printf(
                    "replay, seed %d, %.0f min, %s/%s: %d of %d taken in, %d gave up, slowest %.1f s, probe %.1f s of %.1f s%n",
                    seed,
                    forS / 60,
                    queue.team(),
                    queue.jobClass(),
                    outcome.accepted,
                    outcome.submitted,
                    outcome.abandoned,
                    outcome.slowestAcceptanceS,
                    outcome.slowestProbeS,
                    boundS);
            assertTrue(outcome.slowestProbeS <= boundS, queue + " " + outcome.slowestProbeS + " of " + boundS);
        });
        System.out.printf(
                "replay, seed %d: %d refused by the state service, %d slipped%n",
                seed, world.stateService.rateLimitedRequests, flood.missedFinalTurns);
        assertTrue(
                world.stateService.rateLimitedRequests <= LIMITED_A_MINUTE * forS / 60,
                "refused: " + world.stateService.rateLimitedRequests);
        assertEquals(0, flood.longestOpenProbeS(), "all probes are taken in");
        assertEquals(List.of(), flood.violations);
        assertEquals(List.of(), world.violations());
    }
}
