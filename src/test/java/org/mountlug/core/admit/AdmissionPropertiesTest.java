package org.mountlug.core.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.mountlug.Constants;

/** Property tests with generated tables, clocks and submissions. Seeds are fixed, and a failure reports its seed. */
class AdmissionPropertiesTest {
    private static final String SEED = "20261202";
    private static final long START_MS = 1_800_000_000_000L;
    private static final QueueId QUEUE = new QueueId("a", "l");

    private static CursorSchedule scheduleWithConstantAdvance(long advance) {
        return CursorSchedule.starting(START_MS, new long[] {advance, advance, advance, advance, advance, advance});
    }

    /**
     * A turn before the end of a schedule does not move, at whatever rate and however late the schedule is extended.
     */
    @Property(seed = SEED, tries = 300)
    void turnsBeforeTheEndNeverMove(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(max = 400_000) Integer> advances,
            @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 200, max = 20_000) Integer> pausesMs,
            @ForAll @IntRange(max = HashRing.SLOTS - 1) int slot) {
        CursorSchedule schedule = scheduleWithConstantAdvance(50_000);
        long nowMs = START_MS;
        Map<Long, Long> finalTurnsByTime = new HashMap<>();
        for (int i = 0; i < Math.min(advances.size(), pausesMs.size()); i++) {
            long turnMs = schedule.nextTurnMs(slot, nowMs);
            if (turnMs <= schedule.endMs()) {
                finalTurnsByTime.put(nowMs, turnMs);
                assertTrue(schedule.passes(slot, nowMs, turnMs), "the cursor must pass the slot by its turn");
                assertTrue(
                        !schedule.passes(slot, nowMs, turnMs - 1), "the cursor must not pass the slot before its turn");
            }
            nowMs += pausesMs.get(i);
            long positionBefore = schedule.positionAt(nowMs);
            schedule =
                    schedule.extended(nowMs, nowMs + Constants.Admission.SCHEDULE_HORIZON_MS, advances.get(i), 30_000);
            long positionChange = schedule.positionAt(nowMs) - positionBefore;
            assertEquals(
                    0, positionChange % HashRing.SLOTS, "extending a schedule must not move the cursor's current slot");
            for (Map.Entry<Long, Long> entry : finalTurnsByTime.entrySet()) {
                if (entry.getKey() > nowMs - 20_000) {
                    assertEquals(entry.getValue(), schedule.nextTurnMs(slot, entry.getKey()));
                }
            }
        }
    }

    /**
     * A submission that gets a final turn from one controller and is repeated at that turn is admitted by any other
     * one, whose clock differs by at most the skew, whatever tables have been published meanwhile by the same leader
     * or its successor. Controllers with the same table and clock decide alike.
     */
    @Property(seed = SEED, tries = 300)
    void submissionRepeatedAtFinalTurnIsAdmitted(
            @ForAll @Size(min = 4, max = 20) List<@IntRange(min = 1, max = 60_000) Integer> advances,
            @ForAll @LongRange(min = -25, max = 25) long skewMs,
            @ForAll @LongRange(max = 900) long delayMs,
            @ForAll @IntRange(max = 999_999) int jobNumber) {
        AdmissionGate.Deployment deployment = new AdmissionGate.Deployment(Map.of("a", 1.0), 1, 1000, 25);
        AdmissionGate firstGate = new AdmissionGate(AdmissionSettings.defaults(), deployment);
        AdmissionGate identicalGate = new AdmissionGate(AdmissionSettings.defaults(), deployment);
        AdmissionGate otherGate = new AdmissionGate(AdmissionSettings.defaults(), deployment);
        String jobId = "wk-" + (100_000 + jobNumber);
        CursorSchedule schedule = scheduleWithConstantAdvance(advances.get(0));
        long repeatedAtMs = Long.MAX_VALUE;
        for (int second = 0; second < advances.size() && repeatedAtMs == Long.MAX_VALUE; second++) {
            long nowMs = START_MS + second * 1000L;
            schedule = schedule.extended(
                    nowMs, nowMs + Constants.Admission.SCHEDULE_HORIZON_MS, advances.get(second), 10_000);
            AdmissionTable table = new AdmissionTable(nowMs, 100, Map.of(QUEUE, schedule));
            firstGate.updateTable(table, second);
            identicalGate.updateTable(table, second);
            AdmissionDecision decision = firstGate.decide(QUEUE, jobId, nowMs, second);
            assertEquals(decision, identicalGate.decide(QUEUE, jobId, nowMs, second));
            if (decision instanceof AdmissionDecision.Defer defer && defer.turnIsFinal()) {
                repeatedAtMs = nowMs + defer.retryAfterS() * 1000L;
            }
        }
        if (repeatedAtMs == Long.MAX_VALUE) {
            return;
        }
        int step = 0;
        for (long atMs = START_MS + 20_000;
                schedule.endMs() < repeatedAtMs + 2000 || atMs < repeatedAtMs;
                atMs += 1000) {
            schedule = schedule.extended(
                    Math.min(atMs, repeatedAtMs), repeatedAtMs + 2000, advances.get(step++ % advances.size()), 30_000);
        }
        otherGate.updateTable(new AdmissionTable(repeatedAtMs - 500, 100, Map.of(QUEUE, schedule)), 0);
        AdmissionDecision decisionOnRepetition = otherGate.decide(QUEUE, jobId, repeatedAtMs + delayMs + 2 * skewMs, 0);
        assertEquals(new AdmissionDecision.Admit(), decisionOnRepetition);
    }

    /**
     * Max-min fairness: no key gets more than it demands, no capacity stays unused while demand is unmet, and keys
     * with unmet demand get equal shares by weight that no other key exceeds.
     */
    @Property(seed = SEED, tries = 500)
    void sharesAreMaxMinFair(
            @ForAll @Size(min = 1, max = 8) List<@IntRange(max = 50) Integer> demands,
            @ForAll @Size(min = 8, max = 8) List<@IntRange(min = 1, max = 5) Integer> weights,
            @ForAll @IntRange(max = 100) int capacity) {
        Map<Integer, Double> demandByKey = new HashMap<>();
        for (int i = 0; i < demands.size(); i++) {
            demandByKey.put(i, (double) demands.get(i));
        }
        Map<Integer, Double> shares = FairShares.divide(capacity, demandByKey, i -> weights.get(i));
        double totalShares =
                shares.values().stream().mapToDouble(Double::doubleValue).sum();
        double totalDemand =
                demandByKey.values().stream().mapToDouble(Double::doubleValue).sum();
        assertEquals(Math.min(capacity, totalDemand), totalShares, 1e-6);
        List<Double> unsatisfiedPerWeight = new ArrayList<>();
        shares.forEach((key, share) -> {
            assertTrue(share <= demandByKey.get(key) + 1e-9);
            if (share < demandByKey.get(key) - 1e-9) {
                unsatisfiedPerWeight.add(share / weights.get(key));
            }
        });
        double maxPerWeight = unsatisfiedPerWeight.stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
        shares.forEach((key, share) -> assertTrue(
                unsatisfiedPerWeight.isEmpty() || share / weights.get(key) <= maxPerWeight + 1e-9,
                "no satisfied key may have more by weight"));
        unsatisfiedPerWeight.forEach(perWeight -> assertEquals(maxPerWeight, perWeight, 1e-9));
    }

    /**
     * A queue within its share always gets a token, whatever the other queues take, and all queues together stay
     * within the rate and the bursts.
     */
    @Property(seed = SEED, tries = 300)
    void queueWithinItsShareAlwaysGetsToken(
            @ForAll @Size(min = 50, max = 300) List<@IntRange(max = 30) Integer> floods,
            @ForAll @IntRange(min = 1, max = 4) int weight,
            @ForAll boolean sameTeamAsFlood) {
        double ratePerS = 6;
        TeamTokenBuckets buckets = new TeamTokenBuckets(Map.of("a", 1.0, "b", (double) weight), ratePerS, 1, 2);
        QueueId quietQueue = sameTeamAsFlood ? new QueueId("a", "m") : new QueueId("b", "l");
        double sharePerS = sameTeamAsFlood ? ratePerS / (1 + weight) / 2 : ratePerS * weight / (1 + weight);
        double nowS = 1 / sharePerS;
        double nextSubmissionS = nowS + 1 / sharePerS;
        buckets.refill(ratePerS, 0);
        buckets.tryAcquire(quietQueue, 0); // a job class gets its bucket with its first submission
        int acquired = 1;
        for (int flood : floods) {
            nowS += 0.1;
            buckets.refill(ratePerS, nowS);
            for (int i = 0; i < flood; i++) {
                acquired += buckets.tryAcquire(QUEUE, i % 2) ? 1 : 0;
            }
            while (nextSubmissionS <= nowS) {
                assertTrue(buckets.tryAcquire(quietQueue, 0), "no token for " + quietQueue + " at " + nowS);
                acquired++;
                nextSubmissionS += 1 / sharePerS;
            }
        }
        double burstTokens = 2 + Math.max(2, ratePerS * weight / (1 + weight)) + 3 * ratePerS;
        assertTrue(acquired <= ratePerS * nowS + burstTokens + 1, acquired + " tokens in seconds: " + nowS);
    }
}
