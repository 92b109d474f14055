package org.mountlug.core.admit;

import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;

/**
 * The position of a queue's cursor on the {@link HashRing} as a function of time. A submission has its turn when the
 * cursor passes its slot. The schedule is a polyline over a fixed time grid and is only ever extended at its end, so a
 * turn before the end never moves, whichever controller computes it and however often the schedule has been extended
 * since. Immutable.
 */
public final class CursorSchedule {
    /** Milliseconds between two grid points; grid points are at whole multiples of it since the epoch. */
    public static final long STEP_MS = 2000;
    /** The time of a turn that never comes because the cursor does not move. */
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
     * Creates the schedule of a cursor that begins to move now.
     *
     * @param nowMs epoch milliseconds
     * @param advances slots by which the cursor advances in each step of the grid; at least one element
     */
    public static CursorSchedule starting(long nowMs, long[] advances) {
        if (advances.length == 0) {
            throw new IllegalArgumentException("a schedule needs at least one step, but got no advances");
        }
        long[] positions = new long[advances.length + 1];
        for (int i = 0; i < advances.length; i++) {
            positions[i + 1] = positions[i] + Math.max(0, advances[i]);
        }
        return new CursorSchedule(nowMs, Math.floorDiv(nowMs, STEP_MS), positions);
    }

    /**
     * Creates a schedule from its stored values.
     *
     * @param startedMs epoch milliseconds at which the cursor began to move
     * @param firstStep number of the first grid point kept
     * @param positions the position at each grid point from the first one on; at least two, never decreasing
     */
    public static CursorSchedule of(long startedMs, long firstStep, List<Long> positions) {
        long[] values = positions.stream().mapToLong(Long::longValue).toArray();
        for (int i = 1; i < values.length; i++) {
            if (values[i] < values[i - 1]) {
                throw new IllegalArgumentException("positions of a schedule must not decrease, but " + values[i - 1]
                        + " is followed by " + values[i]);
            }
        }
        if (values.length < 2) {
            throw new IllegalArgumentException("a schedule needs at least two positions, but got " + values.length);
        }
        return new CursorSchedule(startedMs, firstStep, values);
    }

    /** Returns the epoch milliseconds at which the cursor began to move. */
    public long startedMs() {
        return startedMs;
    }

    /** Returns the number of the first grid point kept: its epoch time divided by {@link #STEP_MS}. */
    public long firstStep() {
        return firstStep;
    }

    /**
     * Returns the position at each grid point from the first one on; the slot on the ring is the position modulo a
     * lap.
     */
    public List<Long> positions() {
        return LongStream.of(positions).boxed().toList();
    }

    private long timeMs(int point) {
        return (firstStep + point) * STEP_MS;
    }

    /** Returns the epoch milliseconds of the end, up to which turns are final. */
    public long endMs() {
        return timeMs(positions.length - 1);
    }

    /** Returns the slots by which the cursor advances in the last step, and in each step beyond the end. */
    public long lastStepAdvance() {
        return positions[positions.length - 1] - positions[positions.length - 2];
    }

    /** Returns the position at a time; beyond the end the cursor advances at the rate of the last step. */
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

    /** Whether the cursor passes this slot after the first time and not after the second one. */
    public boolean passes(int slot, long afterMs, long untilMs) {
        return passesUntil(slot, untilMs) > passesUntil(slot, afterMs);
    }

    private long passesUntil(int slot, long epochMs) {
        return Math.floorDiv(positionAt(epochMs) - slot, (long) HashRing.SLOTS);
    }

    /**
     * Returns the epoch milliseconds of the first time after {@code afterMs} at which the cursor has passed the slot,
     * or {@link #NEVER}.
     */
    public long nextTurnMs(int slot, long afterMs) {
        long target = slot + HashRing.SLOTS * (passesUntil(slot, afterMs) + 1);
        for (int point = 0; point < positions.length - 1; point++) {
            if (positions[point + 1] >= target) {
                return timeMs(point)
                        + timeToAdvanceMs(target - positions[point], positions[point + 1] - positions[point]);
            }
        }
        if (lastStepAdvance() == 0) {
            return NEVER;
        }
        return endMs() + timeToAdvanceMs(target - positions[positions.length - 1], lastStepAdvance());
    }

    private static long ceilDiv(long dividend, long divisor) {
        return -Math.floorDiv(-dividend, divisor);
    }

    private static long timeToAdvanceMs(long distance, long advanceInStep) {
        return ceilDiv(distance * STEP_MS, advanceInStep);
    }

    /**
     * Returns this schedule with a later end. New steps that lie in the past already advance as the last step did, so
     * that the current position does not change.
     *
     * @param nowMs epoch milliseconds
     * @param untilMs the new end is not before this time
     * @param advance slots by which the cursor advances in each new step
     * @param retentionMs for how long before now the schedule must still give positions
     */
    public CursorSchedule extended(long nowMs, long untilMs, long advance, long retentionMs) {
        int addedPoints = (int) Math.max(0, ceilDiv(untilMs - endMs(), STEP_MS));
        long[] extendedPositions = Arrays.copyOf(positions, positions.length + addedPoints);
        for (int point = positions.length; point < extendedPositions.length; point++) {
            boolean isInPast = timeMs(point - 1) < nowMs;
            extendedPositions[point] =
                    extendedPositions[point - 1] + (isInPast ? lastStepAdvance() : Math.max(0, advance));
        }
        int droppedPoints = (int) Math.min(
                extendedPositions.length - 2, Math.max(0, Math.floorDiv(nowMs - retentionMs, STEP_MS) - firstStep));
        long wholeLaps = Math.floorDiv(extendedPositions[droppedPoints], (long) HashRing.SLOTS) * HashRing.SLOTS;
        long[] keptPositions = Arrays.copyOfRange(extendedPositions, droppedPoints, extendedPositions.length);
        for (int point = 0; point < keptPositions.length; point++) {
            keptPositions[point] -= wholeLaps;
        }
        return new CursorSchedule(startedMs, firstStep + droppedPoints, keptPositions);
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
