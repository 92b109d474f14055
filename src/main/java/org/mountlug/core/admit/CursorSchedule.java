package org.mountlug.core.admit;

import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;

/**
 * Where a queue's cursor is on the {@link HashRing} at any time. A submission has its turn when the cursor passes its place.
 * The schedule is a polyline over a fixed time grid; it is only ever extended at its end, so a turn before the end never
 * moves, whoever computes it and however often the schedule was extended since. Immutable.
 */
public final class CursorSchedule {
    /** Milliseconds between two points of the grid; grid points are whole multiples of it since the epoch. */
    public static final long STEP_MS = 2000;
    /** The time of a turn that never comes, as the cursor stands still. */
    public static final long NEVER = Long.MAX_VALUE;

    private final long startedMs;
    private final long firstStep;
    private final long[] positions;

    private CursorSchedule(long startedMs, long firstStep, long[] positions) {
        this.startedMs = startedMs;
        this.firstStep = firstStep;
        this.positions = positions;
    }

    /**
     * A cursor that begins to move now.
     *
     * @param nowMs epoch milliseconds
     * @param advances places by which it moves on in each step of the grid; at least one
     */
    public static CursorSchedule starting(long nowMs, long[] advances) {
        if (advances.length == 0) {
            throw new IllegalArgumentException("a schedule needs a step");
        }
        long[] positions = new long[advances.length + 1];
        for (int i = 0; i < advances.length; i++) {
            positions[i + 1] = positions[i] + Math.max(0, advances[i]);
        }
        return new CursorSchedule(nowMs, Math.floorDiv(nowMs, STEP_MS), positions);
    }

    /** A schedule as it was stored: when the cursor began to move, the first grid point kept and the position at each. */
    public static CursorSchedule of(long startedMs, long firstStep, List<Long> positions) {
        long[] values = positions.stream().mapToLong(Long::longValue).toArray();
        for (int i = 1; i < values.length; i++) {
            if (values[i] < values[i - 1]) {
                throw new IllegalArgumentException("a cursor never moves back");
            }
        }
        if (values.length < 2) {
            throw new IllegalArgumentException("a schedule needs a step");
        }
        return new CursorSchedule(startedMs, firstStep, values);
    }

    /** Epoch milliseconds at which the cursor began to move. */
    public long startedMs() {
        return startedMs;
    }

    /** The first grid point that is kept. */
    public long firstStep() {
        return firstStep;
    }

    /** The position at each grid point, from the first on; the place on the ring is the position modulo a lap. */
    public List<Long> positions() {
        return LongStream.of(positions).boxed().toList();
    }

    private long timeMs(int point) {
        return (firstStep + point) * STEP_MS;
    }

    /** Epoch milliseconds of the end, up to which turns are final. */
    public long endMs() {
        return timeMs(positions.length - 1);
    }

    /** Places by which the cursor moves on in a step beyond the end. */
    public long lastStepAdvance() {
        return positions[positions.length - 1] - positions[positions.length - 2];
    }

    /** The position at a time; beyond the end the cursor goes on as in the last step. */
    public long positionAt(long epochMs) {
        long offsetMs = epochMs - timeMs(0);
        if (offsetMs <= 0) {
            return positions[0];
        }
        long point = offsetMs / STEP_MS;
        if (point < positions.length - 1) {
            long advance = positions[(int) point + 1] - positions[(int) point];
            return positions[(int) point] + advance * (offsetMs % STEP_MS) / STEP_MS;
        }
        return positions[positions.length - 1] + lastStepAdvance() * (epochMs - endMs()) / STEP_MS;
    }

    /** Whether the cursor passes this place after the first time and not after the second one. */
    public boolean passes(int slot, long afterMs, long untilMs) {
        return lapsBeyond(slot, untilMs) > lapsBeyond(slot, afterMs);
    }

    private long lapsBeyond(int slot, long epochMs) {
        return Math.floorDiv(positionAt(epochMs) - slot, (long) HashRing.SLOTS);
    }

    /** The first time after this one at which the cursor has passed the place, or {@link #NEVER}. */
    public long nextTurnMs(int slot, long afterMs) {
        long target = slot + HashRing.SLOTS * (lapsBeyond(slot, afterMs) + 1);
        for (int point = 0; point < positions.length - 1; point++) {
            if (positions[point + 1] >= target) {
                return timeMs(point)
                        + timeToAdvance(target - positions[point], positions[point + 1] - positions[point]);
            }
        }
        if (lastStepAdvance() == 0) {
            return NEVER;
        }
        return endMs() + timeToAdvance(target - positions[positions.length - 1], lastStepAdvance());
    }

    private static long ceilDiv(long dividend, long divisor) {
        return -Math.floorDiv(-dividend, divisor);
    }

    private static long timeToAdvance(long distance, long advanceInStep) {
        return ceilDiv(distance * STEP_MS, advanceInStep);
    }

    /**
     * The same schedule with a later end. Steps that lie in the past already keep the pace that the schedule had there.
     *
     * @param nowMs epoch milliseconds
     * @param untilMs the end is not before this time
     * @param advance places by which the cursor moves on in each new step
     * @param keepMs for how long before now the schedule is still asked about
     */
    public CursorSchedule extended(long nowMs, long untilMs, long advance, long keepMs) {
        int added = (int) Math.max(0, ceilDiv(untilMs - endMs(), STEP_MS));
        long[] longer = Arrays.copyOf(positions, positions.length + added);
        for (int point = positions.length; point < longer.length; point++) {
            boolean past = timeMs(point - 1) < nowMs;
            longer[point] = longer[point - 1] + (past ? lastStepAdvance() : Math.max(0, advance));
        }
        int dropped =
                (int) Math.min(longer.length - 2, Math.max(0, Math.floorDiv(nowMs - keepMs, STEP_MS) - firstStep));
        long wholeLaps = Math.floorDiv(longer[dropped], (long) HashRing.SLOTS) * HashRing.SLOTS;
        long[] kept = Arrays.copyOfRange(longer, dropped, longer.length);
        for (int point = 0; point < kept.length; point++) {
            kept[point] -= wholeLaps;
        }
        return new CursorSchedule(startedMs, firstStep + dropped, kept);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CursorSchedule schedule
                && schedule.startedMs == startedMs
                && schedule.firstStep == firstStep
                && Arrays.equals(schedule.positions, positions);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(positions) + Long.hashCode(firstStep);
    }
}
