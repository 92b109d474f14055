package org.mountlug.core.model;

import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.Arrays;
import java.util.BitSet;

/**
 * A live job in the memory of the leader. Its record in the state service is the point of serialisation: every change in
 * memory raises {@code version}, and no user or worker learns of a change before {@link #markPersisted} has confirmed that
 * the record holds it.
 */
public final class Job {
    public final JobSpec spec;
    /** Revision of the job record as it was last read or written. */
    public long revision;
    /**
     * Identifier of the last write by a leader. A user's cancellation leaves it unchanged, which distinguishes the two
     * kinds of writes.
     */
    public String writeId = "";

    /** Whether a user has cancelled the job. */
    public boolean cancelled;
    /** Highest attempt number used so far; it is stored, so that no later leader uses a number again. */
    public long lastAttempt;

    /** Tasks that have completed. */
    public final BitSet doneTasks = new BitSet();
    /** Current placements by task. */
    public final Int2ObjectAVLTreeMap<Placement> placements = new Int2ObjectAVLTreeMap<>();
    /** By task: number of failures; by replica: number of exits since it last ran stably. */
    public final Int2IntOpenHashMap failuresByTask = new Int2IntOpenHashMap();
    /** Machines on which tasks of the job have failed since one last completed. */
    public final FailureHistory failureHistory = new FailureHistory();
    /** By replica of a service: the machine on which the replica last exited without a stop command. */
    public final Int2ObjectOpenHashMap<String> avoidedMachineByTask = new Int2ObjectOpenHashMap<>();
    /** By task: monotonic time in seconds before which the task is not retried. */
    public final Int2DoubleOpenHashMap retryNotBeforeS = new Int2DoubleOpenHashMap();

    /**
     * Monotonic time in seconds before which no task of the job is placed, because its record cannot be written or
     * because the job is suspected.
     */
    public double pausedUntilS = Double.NEGATIVE_INFINITY;

    /** Number of the last change in memory. */
    public long version;
    /** Number of tasks, from the first, that the main record holds; the record parts hold the remaining ones. */
    private int mainRecordTasks = Integer.MAX_VALUE;

    private int tasksPerPart = 1;
    /** By part, 0 for the main record: version of the last change. */
    private long[] changedVersions = new long[1];

    /** By part, 0 for the main record: last version that is durable. */
    private long[] durableVersions = new long[1];
    /**
     * By part: version up to which the part is written, or -1. It counts as durable only once the main record refers to
     * the parts; null while no split is pending.
     */
    private long[] stagedVersions;
    /**
     * Parts that an earlier leader staged for a split which it never completed. They must be overwritten before the main
     * record refers to parts.
     */
    public final BitSet orphanedParts = new BitSet();
    /** The specification as stored; if the full one does not fit a record, machine types that do not exist are left out. */
    public JobSpec storedSpec;
    /** Monotonic time in seconds of the oldest change that is not persisted, {@code NaN} if there is none. */
    public double dirtySinceS = Double.NaN;

    /** Whether a user or a worker waits for a change that is not persisted. */
    public boolean writeUrgent;
    /** Whether any task was ever placed or done; a job that never had one goes ahead of all queues after a time limit. */
    public boolean everPlaced;
    /** Monotonic time in seconds since which the job waits: its submission, as far as the clocks agree. */
    public double waitingSinceS;

    /** Creates a job of which no task has been placed. */
    public Job(JobSpec spec) {
        this.spec = spec;
        this.storedSpec = spec;
    }

    /**
     * Records a change of the job as a whole.
     *
     * @param urgent whether a user or a worker waits for the change
     */
    public void markChanged(double nowS, boolean urgent) {
        markPartChanged(0, nowS, urgent);
    }

    /**
     * Records a change of one task.
     *
     * @param urgent whether a user or a worker waits for the change
     */
    public void markChanged(int task, double nowS, boolean urgent) {
        markPartChanged(partOf(task), nowS, urgent);
    }

    private void markPartChanged(int part, double nowS, boolean urgent) {
        changedVersions[part] = ++version;
        if (Double.isNaN(dirtySinceS)) {
            dirtySinceS = nowS;
        }
        writeUrgent |= urgent;
    }

    /** Whether the job has a change that is not durable. */
    public boolean isDirty() {
        if (stagedVersions != null) {
            return true;
        }
        for (int part = 0; part < changedVersions.length; part++) {
            if (changedVersions[part] > durableVersions[part]) {
                return true;
            }
        }
        return false;
    }

    /** Whether the change of a task that was made in this version is durable. */
    public boolean isDurable(int task, long taskVersion) {
        return durableVersions[partOf(task)] >= taskVersion;
    }

    // ---- parts --------------------------------------------------------------------------------------------------

    /** Returns the part that holds a task, 0 for the main record. */
    public int partOf(int task) {
        return task < mainRecordTasks ? 0 : 1 + (task - mainRecordTasks) / tasksPerPart;
    }

    /** Returns the number of records of the job, the main record included. */
    public int recordCount() {
        return changedVersions.length;
    }

    /** Whether the job is divided into a main record and record parts. */
    public boolean isSplit() {
        return changedVersions.length > 1;
    }

    /** Returns the number of tasks that the main record holds. */
    public int mainRecordTasks() {
        return Math.min(mainRecordTasks, spec.tasks());
    }

    /** Returns the number of tasks that each part after the main record holds. */
    public int tasksPerPart() {
        return tasksPerPart;
    }

    /** Returns the first task of a part; for the part after the last, the number of tasks. */
    public int firstTaskOf(int part) {
        return part == 0 ? 0 : Math.min(spec.tasks(), mainRecordTasks + (part - 1) * tasksPerPart);
    }

    /**
     * Sets how the stored job is divided into records, all of which count as durable.
     *
     * @param mainTasks number of tasks in the main record
     * @param perPart number of tasks in each part
     */
    public void setLayout(int mainTasks, int perPart) {
        mainRecordTasks = mainTasks;
        tasksPerPart = perPart;
        int recordCount = 1 + (Math.max(0, spec.tasks() - mainTasks) + perPart - 1) / perPart;
        changedVersions = new long[recordCount];
        durableVersions = new long[recordCount];
        Arrays.fill(changedVersions, version);
        Arrays.fill(durableVersions, version);
    }

    /**
     * Begins to split the job into a main record and parts. Durable state stays durable, as the single record that holds
     * it is replaced only once every part with state is written (staged). Later changes become durable only after that.
     *
     * @param mainTasks number of tasks in the main record
     * @param perPart number of tasks in each part
     */
    public void splitIntoParts(int mainTasks, int perPart, double nowS) {
        long durableVersion = durableVersions[0];
        setLayout(mainTasks, perPart);
        Arrays.fill(durableVersions, durableVersion);
        boolean partsHoldDurableState = !orphanedParts.isEmpty() || doneTasks.nextSetBit(mainTasks) >= 0;
        for (Placement placement : placements.tailMap(mainTasks).values()) {
            partsHoldDurableState |= placement.version <= durableVersion;
        }
        // If the single record holds no state that moves to a part, no part needs to be staged.
        if (partsHoldDurableState) {
            stagedVersions = new long[changedVersions.length];
            Arrays.fill(stagedVersions, -1);
        }
        version++;
        Arrays.fill(changedVersions, 0);
        changedVersions[0] = version;
        for (int task = doneTasks.nextSetBit(0); task >= 0; task = doneTasks.nextSetBit(task + 1)) {
            changedVersions[partOf(task)] = version;
        }
        for (int task : placements.keySet()) {
            changedVersions[partOf(task)] = version;
        }
        for (int part = orphanedParts.nextSetBit(1);
                part >= 0 && part < changedVersions.length;
                part = orphanedParts.nextSetBit(part + 1)) {
            changedVersions[part] = version;
        }
        orphanedParts.clear();
        if (Double.isNaN(dirtySinceS)) {
            dirtySinceS = nowS;
        }
    }

    /** Whether parts are being staged and the main record does not yet refer to them. */
    public boolean isSplitPending() {
        return stagedVersions != null;
    }

    /** Returns the parts that have to be written, without the main record, in ascending order and at most {@code limit}. */
    public int[] partsToWrite(int limit) {
        IntArrayList parts = new IntArrayList();
        for (int part = 1; part < changedVersions.length && parts.size() < limit; part++) {
            if (stagedVersions != null
                    ? stagedVersions[part] < 0 && changedVersions[part] > 0
                    : changedVersions[part] > durableVersions[part]) {
                parts.add(part);
            }
        }
        return parts.toIntArray();
    }

    /** Records that these parts were written as of this version, before the main record refers to them. */
    public void markStaged(int[] parts, long writtenVersion) {
        if (stagedVersions != null) {
            for (int part : parts) {
                stagedVersions[part] = writtenVersion;
            }
        }
    }

    /** Records that the main record and these parts were written together as of this version, which ends a pending split. */
    public void markPersisted(int[] parts, long writtenVersion) {
        if (stagedVersions != null) {
            for (int part = 1; part < stagedVersions.length; part++) {
                // A part without state at the time of the split needs no record until it has some.
                if (stagedVersions[part] >= 0) {
                    durableVersions[part] = stagedVersions[part];
                }
            }
            stagedVersions = null;
        }
        durableVersions[0] = Math.max(durableVersions[0], writtenVersion);
        for (int part : parts) {
            durableVersions[part] = Math.max(durableVersions[part], writtenVersion);
        }
    }

    /** Records that every change so far is durable. */
    public void markPersisted() {
        stagedVersions = null;
        Arrays.fill(durableVersions, version);
    }

    /** Whether every task is done; never true for a service, whose replicas have no result. */
    public boolean isComplete() {
        return !spec.isService() && doneTasks.cardinality() >= spec.tasks();
    }

    /** Whether no task can run any more, so that the job record may be replaced by a final record. */
    public boolean isFinished() {
        return cancelled ? placements.isEmpty() : isComplete();
    }

    /**
     * Whether the final record says done. A job whose cancellation was acknowledged to a user stays cancelled, even if its
     * last task completes before it can be stopped.
     */
    public boolean isDone() {
        return isComplete() && !cancelled;
    }

    /** Returns the number of tasks that are neither done nor placed. */
    public int pendingTaskCount() {
        return spec.tasks() - doneTasks.cardinality() - placements.size();
    }

    /** Whether the task is pending and neither its retry delay nor a pause of the job keeps it from being placed. */
    public boolean needsPlacement(int task, double nowS) {
        return nowS >= pausedUntilS
                && !doneTasks.get(task)
                && !placements.containsKey(task)
                && retryNotBeforeS.getOrDefault(task, 0.0) <= nowS;
    }

    /** Returns the number of tasks that are placed in the zone. */
    public int placedTasksIn(String zone) {
        int count = 0;
        for (Placement placement : placements.values()) {
            if (placement.zone.equals(zone)) {
                count++;
            }
        }
        return count;
    }

    /**
     * Whether the job's zone rules allow this many additional tasks in the zone. Every attempt that is not proven to have
     * ended counts as placed.
     */
    public boolean zoneRulesAllow(String zone, int additionalTasks) {
        if (spec.oneZone()) {
            for (Placement placement : placements.values()) {
                if (!placement.zone.equals(zone)) {
                    return false;
                }
            }
        }
        return !spec.spreadAcrossZones() || placedTasksIn(zone) + additionalTasks <= spec.maxTasksPerZone();
    }
}
