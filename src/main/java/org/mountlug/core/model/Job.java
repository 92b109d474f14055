package org.mountlug.core.model;

import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.Arrays;
import java.util.BitSet;

/**
 * A live job as the leader knows it. Its record in the state service is the point of serialisation: memory runs ahead
 * by {@code version}, and nothing is told to anybody before {@code persisted} has caught up.
 */
public final class Job {
    public final JobSpec spec;
    /** Revision of the record this was read from or last written as. */
    public long revision;
    /** Identity of the last write by a leader; a user's abort leaves it alone, so both can be told apart. */
    public String writeId = "";

    public boolean cancelled;
    /** Highest attempt number ever used; survives leaders, so that no number is used twice. */
    public long lastAttempt;

    public final BitSet doneTasks = new BitSet();
    public final Int2ObjectAVLTreeMap<Placement> placements = new Int2ObjectAVLTreeMap<>();
    public final Int2IntOpenHashMap failuresByTask = new Int2IntOpenHashMap();
    /** Where its tasks failed since one last completed. */
    public final FailureHistory failureHistory = new FailureHistory();
    /** By task of a service: the machine on which it last ended by itself. */
    public final Int2ObjectOpenHashMap<String> avoidedMachineByTask = new Int2ObjectOpenHashMap<>();
    /** Steady seconds before which a task is not tried again. */
    public final Int2DoubleOpenHashMap retryNotBeforeS = new Int2DoubleOpenHashMap();

    /** Steady seconds before which none of it is started, as what is decided of it cannot be written. */
    public double pausedUntilS = Double.NEGATIVE_INFINITY;

    public long version;
    /** How many of the first tasks the job's own record holds; the others are in parts. */
    private int mainRecordTasks = Integer.MAX_VALUE;

    private int tasksPerPart = 1;
    /** By part, the own record being the first: version of the last change, and the last one that is durable. */
    private long[] changed = new long[1];

    private long[] saved = new long[1];
    /** By part, what is written but does not count before the own record says that there are parts; else null. */
    private long[] staged;
    /** Parts that an earlier leader wrote ahead of a switch that never came: to be written over with it. */
    public final BitSet orphanedParts = new BitSet();
    /** The description as it is written; it leaves out what nobody needs where the whole would not fit a record. */
    public JobSpec storedSpec;
    /** Steady milliseconds of the oldest change not yet persisted, and whether someone waits for it. */
    public double dirtySinceS = Double.NaN;

    public boolean writeUrgent;
    /** Whether any task of it was ever placed or done; what has not begun must not wait for ever. */
    public boolean everPlaced;
    /** Steady seconds since which it waits: when it was submitted, as far as the clocks agree. */
    public double waitingSinceS;

    /** A job of which no task has been placed. */
    public Job(JobSpec spec) {
        this.spec = spec;
        this.storedSpec = spec;
    }

    /** Notes a change of the job as a whole; {@code soon} if somebody waits for it. */
    public void markChanged(double nowS, boolean urgent) {
        touchPart(0, nowS, urgent);
    }

    /** Notes a change of one task. */
    public void markChanged(int task, double nowS, boolean urgent) {
        touchPart(partOf(task), nowS, urgent);
    }

    private void touchPart(int part, double nowS, boolean soon) {
        changed[part] = ++version;
        if (Double.isNaN(dirtySinceS)) {
            dirtySinceS = nowS;
        }
        writeUrgent |= soon;
    }

    /** Whether something of it has changed that is not durable yet. */
    public boolean isDirty() {
        if (staged != null) {
            return true;
        }
        for (int i = 0; i < changed.length; i++) {
            if (changed[i] > saved[i]) {
                return true;
            }
        }
        return false;
    }

    /** Whether what was decided of a task in this version is durable. */
    public boolean isDurable(int task, long taskVersion) {
        return saved[partOf(task)] >= taskVersion;
    }

    // ---- parts --------------------------------------------------------------------------------------------------

    /** The part that holds a task: 0 for the own record. */
    public int partOf(int task) {
        return task < mainRecordTasks ? 0 : 1 + (task - mainRecordTasks) / tasksPerPart;
    }

    /** Number of records, the own one included. */
    public int recordCount() {
        return changed.length;
    }

    /** Whether its record is stored in parts. */
    public boolean isSplit() {
        return changed.length > 1;
    }

    /** How many tasks stand in the job's own record. */
    public int mainRecordTasks() {
        return Math.min(mainRecordTasks, spec.tasks());
    }

    /** How many tasks stand in each further part. */
    public int tasksPerPart() {
        return tasksPerPart;
    }

    /** First task of a part, or of the part after the last: the number of tasks. */
    public int firstTaskOf(int part) {
        return part == 0 ? 0 : Math.min(spec.tasks(), mainRecordTasks + (part - 1) * tasksPerPart);
    }

    /** As it is stored: {@code own} tasks in its own record, {@code per} in each part. */
    public void setLayout(int mainTasks, int perPart) {
        mainRecordTasks = mainTasks;
        tasksPerPart = perPart;
        int n = 1 + (Math.max(0, spec.tasks() - mainTasks) + perPart - 1) / perPart;
        changed = new long[n];
        saved = new long[n];
        Arrays.fill(changed, version);
        Arrays.fill(saved, version);
    }

    /**
     * Decides that the job is to be stored in parts from now on. What is durable stays so, as the record that holds it
     * all is only replaced once every part that holds anything is written ahead (staged); what is decided from now on
     * is durable only after that.
     */
    public void splitIntoParts(int mainTasks, int perPart, double nowS) {
        long durable = saved[0];
        setLayout(mainTasks, perPart);
        Arrays.fill(saved, durable);
        boolean held = !orphanedParts.isEmpty() || doneTasks.nextSetBit(mainTasks) >= 0;
        for (Placement p : placements.tailMap(mainTasks).values()) {
            held |= p.version <= durable;
        }
        // Where the one record holds nothing that goes to a part, there is nothing to be written ahead.
        if (held) {
            staged = new long[changed.length];
            Arrays.fill(staged, -1);
        }
        version++;
        Arrays.fill(changed, 0);
        changed[0] = version;
        for (int t = doneTasks.nextSetBit(0); t >= 0; t = doneTasks.nextSetBit(t + 1)) {
            changed[partOf(t)] = version;
        }
        for (int t : placements.keySet()) {
            changed[partOf(t)] = version;
        }
        for (int p = orphanedParts.nextSetBit(1); p >= 0 && p < changed.length; p = orphanedParts.nextSetBit(p + 1)) {
            changed[p] = version;
        }
        orphanedParts.clear();
        if (Double.isNaN(dirtySinceS)) {
            dirtySinceS = nowS;
        }
    }

    /** Whether the own record does not yet say that there are parts. */
    public boolean isSplitPending() {
        return staged != null;
    }

    /** Parts beside the own record that have to be written, in order, at most so many. */
    public int[] partsToWrite(int limit) {
        IntArrayList l = new IntArrayList();
        for (int p = 1; p < changed.length && l.size() < limit; p++) {
            if (staged != null ? staged[p] < 0 && changed[p] > 0 : changed[p] > saved[p]) {
                l.add(p);
            }
        }
        return l.toIntArray();
    }

    /** These parts were written as of this version, ahead of the own record. */
    public void markStaged(int[] parts, long v) {
        if (staged != null) {
            for (int p : parts) {
                staged[p] = v;
            }
        }
    }

    /** The own record, and these parts with it, were written as of this version. */
    public void markPersisted(int[] parts, long v) {
        if (staged != null) {
            for (int p = 1; p < staged.length; p++) {
                // A part that held nothing when the job was split needs no record until it does.
                if (staged[p] >= 0) {
                    saved[p] = staged[p];
                }
            }
            staged = null;
        }
        saved[0] = Math.max(saved[0], v);
        for (int p : parts) {
            saved[p] = Math.max(saved[p], v);
        }
    }

    /** Everything decided so far is durable. */
    public void markPersisted() {
        staged = null;
        Arrays.fill(saved, version);
    }

    /** Whether every task has a result; of a service none ever counts as one. */
    public boolean isComplete() {
        return !spec.isService() && doneTasks.cardinality() >= spec.tasks();
    }

    /** Whether nothing of it can run any more and its record may move to the finished ones. */
    public boolean isFinished() {
        return cancelled ? placements.isEmpty() : isComplete();
    }

    /**
     * Whether the finished record says done. Once a user has been told that the job is cancelled it stays so, even if
     * its last task completes before it can be stopped.
     */
    public boolean isDone() {
        return isComplete() && !cancelled;
    }

    /** How many tasks are neither done nor placed. */
    public int pendingTaskCount() {
        return spec.tasks() - doneTasks.cardinality() - placements.size();
    }

    /** Whether this task needs a place now. */
    public boolean needsPlacement(int task, double nowS) {
        return nowS >= pausedUntilS
                && !doneTasks.get(task)
                && !placements.containsKey(task)
                && retryNotBeforeS.getOrDefault(task, 0.0) <= nowS;
    }

    /** How many of its tasks are placed in the zone. */
    public int placedTasksIn(String zone) {
        int n = 0;
        for (Placement p : placements.values()) {
            if (p.zone.equals(zone)) {
                n++;
            }
        }
        return n;
    }

    /** Whether the job's zone rules allow {@code more} tasks in {@code zone}, given every task not proven gone. */
    public boolean zoneRulesAllow(String zone, int more) {
        if (spec.oneZone()) {
            for (Placement p : placements.values()) {
                if (!p.zone.equals(zone)) {
                    return false;
                }
            }
        }
        return !spec.spreadAcrossZones() || placedTasksIn(zone) + more <= spec.maxTasksPerZone();
    }
}
