package org.mountlug.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.mountlug.Constants;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;

/** Computes how many tasks of a job fit into one job record, which limits placements while no record parts may be written. */
final class RecordCapacity {
    private boolean partsAllowed;
    /** Characters of a record beside its fixed part; for a limit of 8 KiB until the limit is set. */
    private double availableChars = 8 * 1024 * Constants.VALUE_FILL_SHARE - Constants.RECORD_FIXED_CHARS;

    /** Sets the maximum size of a record in KiB. */
    void setValueLimitKib(double limitKib) {
        availableChars = limitKib * 1024 * Constants.VALUE_FILL_SHARE - Constants.RECORD_FIXED_CHARS;
    }

    /** Allows record parts, so that the size of a record no longer limits the number of tasks. */
    void allowParts() {
        partsAllowed = true;
    }

    /**
     * Returns how many more tasks of a job may be placed such that its record stays within the size limit, whichever of
     * the tasks that are placed now end. In the worst case every second task of a run (consecutive tasks with the same
     * attempt number on one machine) stays placed and is then written separately, and each new task needs another machine.
     */
    int remainingTasks(Job job) {
        if (partsAllowed) {
            return Integer.MAX_VALUE;
        }
        int digits = Integer.toString(job.spec.tasks()).length();
        int charsPerTask = digits + Long.toString(job.lastAttempt + 1).length() + 2;
        double usedChars = job.spec.jobClass().length()
                + job.spec.team().length()
                + job.spec.image().length();
        if (job.spec.machineTypes() != null) {
            for (String type : job.spec.machineTypes()) {
                usedChars += type.length() + 3;
            }
        }
        Object2ObjectOpenHashMap<String, Placement> lastPlacementByMachine = new Object2ObjectOpenHashMap<>();
        Object2IntOpenHashMap<String> runLengthByMachine = new Object2IntOpenHashMap<>();
        for (Placement placement : job.placements.values()) {
            Placement previous = lastPlacementByMachine.put(placement.machine, placement);
            if (previous == null) {
                usedChars += placement.machine.length() + Constants.RECORD_MACHINE_OVERHEAD_CHARS;
            }
            boolean continuesRun =
                    previous != null && previous.task == placement.task - 1 && previous.attempt == placement.attempt;
            int runLength = continuesRun ? runLengthByMachine.getInt(placement.machine) + 1 : 1;
            runLengthByMachine.put(placement.machine, runLength);
            // A run of two takes as much as two single tasks; of a longer run, every second task is left in the worst
            // case.
            if (runLength <= 2 || runLength % 2 == 1) {
                usedChars += charsPerTask;
            }
        }
        // Done tasks are written as ranges, which lie between pending or placed tasks, or as a bitmap with a bit per
        // task.
        double bitmapChars = job.spec.tasks() / 6.0 + 8;
        int charsPerRange = 2 * digits + 2;
        double doneChars = Math.min(bitmapChars, charsPerRange * (job.placements.size() + 1.0));
        double charsPerNewTask =
                charsPerTask + Constants.ASSUMED_MACHINE_NAME_CHARS + Constants.RECORD_MACHINE_OVERHEAD_CHARS;
        if (bitmapChars > charsPerRange * (job.placements.size() + 1.0)) {
            charsPerNewTask += charsPerRange;
        }
        return (int) Math.max(0, Math.floor((availableChars - usedChars - doneChars) / charsPerNewTask));
    }
}
