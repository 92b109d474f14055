package org.mountlug.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.mountlug.Constants;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;

/** How much of a job one record holds, as long as no parts may be written. */
final class RecordCapacity {
    private boolean parts;
    private double recordChars = 8 * 1024 * Constants.VALUE_FILL_SHARE - Constants.RECORD_FIXED_CHARS;

    /** Tells how many KiB a record may have. */
    void setValueLimitKib(double kib) {
        recordChars = kib * 1024 * Constants.VALUE_FILL_SHARE - Constants.RECORD_FIXED_CHARS;
    }

    /** From now on what does not fit goes into parts. */
    void allowParts() {
        parts = true;
    }

    /**
     * How many more tasks of a job may be placed so that its record surely stays within the value limit, however the
     * tasks that are placed now end: of a run of tasks every second one may stay, each then written by itself, and each
     * new task may need a machine of its own.
     */
    int remainingTasks(Job j) {
        if (parts) {
            return Integer.MAX_VALUE;
        }
        int digits = Integer.toString(j.spec.tasks()).length();
        int task = digits + Long.toString(j.lastAttempt + 1).length() + 2;
        double used = j.spec.jobClass().length()
                + j.spec.team().length()
                + j.spec.image().length();
        if (j.spec.machineTypes() != null) {
            for (String t : j.spec.machineTypes()) {
                used += t.length() + 3;
            }
        }
        Object2ObjectOpenHashMap<String, Placement> last = new Object2ObjectOpenHashMap<>();
        Object2IntOpenHashMap<String> run = new Object2IntOpenHashMap<>();
        for (Placement p : j.placements.values()) {
            Placement before = last.put(p.machine, p);
            if (before == null) {
                used += p.machine.length() + Constants.RECORD_MACHINE_OVERHEAD_CHARS;
            }
            boolean goesOn = before != null && before.task == p.task - 1 && before.attempt == p.attempt;
            int n = goesOn ? run.getInt(p.machine) + 1 : 1;
            run.put(p.machine, n);
            // A run of two takes as much as two single ones; of more, at the worst every second one is left.
            if (n <= 2 || n % 2 == 1) {
                used += task;
            }
        }
        // Done ranges lie between open or placed tasks; a bit a task is the other way to write them.
        double bits = j.spec.tasks() / 6.0 + 8;
        int range = 2 * digits + 2;
        double done = Math.min(bits, range * (j.placements.size() + 1.0));
        double each = task + Constants.ASSUMED_MACHINE_NAME_CHARS + Constants.RECORD_MACHINE_OVERHEAD_CHARS;
        if (bits > range * (j.placements.size() + 1.0)) {
            each += range;
        }
        return (int) Math.max(0, Math.floor((recordChars - used - done) / each));
    }
}
