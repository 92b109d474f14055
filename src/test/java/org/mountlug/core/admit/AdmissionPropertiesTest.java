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

/** Generated histories of tables, clocks and submissions over the pure code; seeds are fixed, a failure names its own. */
class AdmissionPropertiesTest {
    private static final String SEED = "20261202";
    private static final long START_MS = 1_800_000_000_000L;
    private static final QueueId QUEUE = new QueueId("a", "l");

    private static CursorSchedule starting(long advance) {
        return CursorSchedule.starting(START_MS, new long[] {advance, advance, advance, advance, advance, advance});
    }

    /** Whatever pace a schedule is extended by, and however late, a turn before its end stays where it is. */
    @Property(seed = SEED, tries = 300)
    void aTurnBeforeTheEndNeverMoves(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(max = 400_000) Integer> advances,
            @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 200, max = 20_000) Integer> pausesMs,
            @ForAll @IntRange(max = HashRing.SLOTS - 1) int place) {
        CursorSchedule schedule = starting(50_000);
        long nowMs = START_MS;
        Map<Long, Long> told = new HashMap<>();
        for (int i = 0; i < Math.min(advances.size(), pausesMs.size()); i++) {
            long turnMs = schedule.nextTurnMs(place, nowMs);
            if (turnMs <= schedule.endMs()) {
                told.put(nowMs, turnMs);
                assertTrue(schedule.passes(place, nowMs, turnMs), "passed at its turn");
                assertTrue(!schedule.passes(place, nowMs, turnMs - 1), "and not before");
            }
            nowMs += pausesMs.get(i);
            long position = schedule.positionAt(nowMs);
            schedule =
                    schedule.extended(nowMs, nowMs + Constants.Admission.SCHEDULE_HORIZON_MS, advances.get(i), 30_000);
            long moved = schedule.positionAt(nowMs) - position;
            assertEquals(0, moved % HashRing.SLOTS, "the cursor is where it was, however late it is extended");
            for (Map.Entry<Long, Long> entry : told.entrySet()) {
                if (entry.getKey() > nowMs - 20_000) {
                    assertEquals(entry.getValue(), schedule.nextTurnMs(place, entry.getKey()));
                }
            }
        }
    }

    /**
     * Whoever is told a final turn by one controller and comes back when told is admitted by any other, whose clock differs within
     * the skew, whatever tables were published meanwhile, by this leader or the next; and controllers with the same
     * table and clock say the same.
     */
    @Property(seed = SEED, tries = 300)
    void whoeverComesBackAtItsTurnIsAdmitted(
            @ForAll @Size(min = 4, max = 20) List<@IntRange(min = 1, max = 60_000) Integer> advances,
            @ForAll @LongRange(min = -25, max = 25) long skewMs,
            @ForAll @LongRange(max = 900) long lateMs,
            @ForAll @IntRange(max = 999_999) int number) {
        AdmissionGate.Deployment deployment = new AdmissionGate.Deployment(Map.of("a", 1.0), 1, 1000, 25);
        AdmissionGate first = new AdmissionGate(AdmissionSettings.defaults(), deployment);
        AdmissionGate twin = new AdmissionGate(AdmissionSettings.defaults(), deployment);
        AdmissionGate other = new AdmissionGate(AdmissionSettings.defaults(), deployment);
        String job = "wk-" + (100_000 + number);
        CursorSchedule schedule = starting(advances.get(0));
        long backMs = Long.MAX_VALUE;
        for (int second = 0; second < advances.size() && backMs == Long.MAX_VALUE; second++) {
            long nowMs = START_MS + second * 1000L;
            schedule = schedule.extended(
                    nowMs, nowMs + Constants.Admission.SCHEDULE_HORIZON_MS, advances.get(second), 10_000);
            AdmissionTable table = new AdmissionTable(nowMs, 100, Map.of(QUEUE, schedule));
            first.updateTable(table, second);
            twin.updateTable(table, second);
            AdmissionDecision decision = first.decide(QUEUE, job, nowMs, second);
            assertEquals(decision, twin.decide(QUEUE, job, nowMs, second));
            if (decision instanceof AdmissionDecision.Defer defer && defer.turnIsFinal()) {
                backMs = nowMs + defer.retryAfterS() * 1000L;
            }
        }
        if (backMs == Long.MAX_VALUE) {
            return;
        }
        int step = 0;
        for (long atMs = START_MS + 20_000; schedule.endMs() < backMs + 2000 || atMs < backMs; atMs += 1000) {
            schedule = schedule.extended(
                    Math.min(atMs, backMs), backMs + 2000, advances.get(step++ % advances.size()), 30_000);
        }
        other.updateTable(new AdmissionTable(backMs - 500, 100, Map.of(QUEUE, schedule)), 0);
        AdmissionDecision back = other.decide(QUEUE, job, backMs + lateMs + 2 * skewMs, 0);
        assertEquals(new AdmissionDecision.Admit(), back);
    }

    /** Max-min fairness: nobody gets more than it asks for, nothing is wasted, and who gets less has at least its share. */
    @Property(seed = SEED, tries = 500)
    void partsAreMaxMinFair(
            @ForAll @Size(min = 1, max = 8) List<@IntRange(max = 50) Integer> demands,
            @ForAll @Size(min = 8, max = 8) List<@IntRange(min = 1, max = 5) Integer> weights,
            @ForAll @IntRange(max = 100) int capacity) {
        Map<Integer, Double> asked = new HashMap<>();
        for (int i = 0; i < demands.size(); i++) {
            asked.put(i, (double) demands.get(i));
        }
        Map<Integer, Double> parts = FairShares.divide(capacity, asked, i -> weights.get(i));
        double total = parts.values().stream().mapToDouble(Double::doubleValue).sum();
        double wanted = asked.values().stream().mapToDouble(Double::doubleValue).sum();
        assertEquals(Math.min(capacity, wanted), total, 1e-6);
        List<Double> unmet = new ArrayList<>();
        parts.forEach((i, part) -> {
            assertTrue(part <= asked.get(i) + 1e-9);
            if (part < asked.get(i) - 1e-9) {
                unmet.add(part / weights.get(i));
            }
        });
        double most = unmet.stream().mapToDouble(Double::doubleValue).max().orElse(0);
        parts.forEach((i, part) -> assertTrue(
                unmet.isEmpty() || part / weights.get(i) <= most + 1e-9, "no content one has more by weight"));
        unmet.forEach(perWeight -> assertEquals(most, perWeight, 1e-9));
    }

    /** Whatever others take, a queue that is asked within its part always finds a token; and all stay within rate and bursts. */
    @Property(seed = SEED, tries = 300)
    void aQueueWithinItsPartAlwaysFindsAToken(
            @ForAll @Size(min = 50, max = 300) List<@IntRange(max = 30) Integer> floods,
            @ForAll @IntRange(min = 1, max = 4) int weight,
            @ForAll boolean ofTheFloodsTeam) {
        double ratePerS = 6;
        TeamTokenBuckets buckets = new TeamTokenBuckets(Map.of("a", 1.0, "b", (double) weight), ratePerS, 1, 2);
        QueueId quiet = ofTheFloodsTeam ? new QueueId("a", "m") : new QueueId("b", "l");
        double partPerS = ofTheFloodsTeam ? ratePerS / (1 + weight) / 2 : ratePerS * weight / (1 + weight);
        double nowS = 1 / partPerS;
        double nextS = nowS + 1 / partPerS;
        buckets.refill(ratePerS, 0);
        buckets.tryAcquire(quiet, 0); // a class is known from its first submission on
        int taken = 1;
        for (int flood : floods) {
            nowS += 0.1;
            buckets.refill(ratePerS, nowS);
            for (int i = 0; i < flood; i++) {
                taken += buckets.tryAcquire(QUEUE, i % 2) ? 1 : 0;
            }
            while (nextS <= nowS) {
                assertTrue(buckets.tryAcquire(quiet, 0), quiet + " at " + nowS);
                taken++;
                nextS += 1 / partPerS;
            }
        }
        double bursts = 2 + Math.max(2, ratePerS * weight / (1 + weight)) + 3 * ratePerS;
        assertTrue(taken <= ratePerS * nowS + bursts + 1, taken + " in " + nowS);
    }
}
