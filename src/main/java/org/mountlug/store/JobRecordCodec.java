package org.mountlug.store;

import com.google.common.base.Strings;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;
import org.mountlug.wire.Fields;
import org.mountlug.wire.Json;

/**
 * Encodes the records of jobs in the state service. Finished tasks are written as ranges or as a bit set, and placed
 * tasks as runs by machine. A job whose tasks might not fit into one record keeps the first ones in its main record
 * and the others in parts of a fixed number of tasks each ({@link #layoutFor}), so that every task belongs to one
 * record and no record can exceed the value limit, which is the state service's limit on the size of a value. The main
 * record remains the point of serialisation: each write of a part also writes the main record, and so fails if that
 * write conflicts.
 *
 * <p>Versions before parts, which are those released before record parts existed, know only the main record, so parts
 * are written only when no controller runs such a version. A field of a record that these versions do not know is lost
 * when they write the record back. {@code docs/design.md} lists what is compatible.
 */
public final class JobRecordCodec {
    /** Field of a live record that is true when its user has cancelled the job. */
    private static final String CANCELLED = "x";

    /**
     * Characters of a main record in addition to its specification and tasks: keys, write id, zones, counts, failures.
     */
    private static final int RECORD_OVERHEAD_CHARS = 300;
    /** Characters of a part in addition to its tasks. */
    private static final int PART_OVERHEAD_CHARS = 220;
    /**
     * Characters after which a record gets no further failure counts, which only help with retries. This limit is the
     * one of versions before parts.
     */
    private static final int MAX_FAILURES_CHARS = 600;

    /** Characters after which a main record that has parts, or a part, gets no further failure counts. */
    private static final int MAX_FAILURES_CHARS_OF_SPLIT_JOB = 90;
    /** Maximum characters of a task in addition to its number and machine: attempt, session, zone and punctuation. */
    private static final int TASK_OVERHEAD_CHARS = 17;
    /**
     * Marks a service in its stored expected run time. A run time is never negative otherwise, and versions before
     * parts write the value back unchanged.
     */
    private static final double SERVICE_EXPECTED_RUN_S = -1;

    private JobRecordCodec() {}

    // ---- specification ----------------------------------------------------------------------------------------

    /** Returns the specification as it is stored in a record. */
    public static Map<String, Object> writeSpec(JobSpec spec) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("l", spec.jobClass());
        fields.put("t", spec.team());
        fields.put("g", spec.isGang());
        fields.put("u", spec.priority().ordinal());
        fields.put("n", spec.tasks());
        fields.put("c", spec.request().cpus());
        fields.put("q", spec.request().gpus());
        fields.put("r", spec.request().ramGb());
        if (spec.machineTypes() != null) {
            fields.put("b", spec.machineTypes());
        }
        if (spec.zone() != null) {
            fields.put("z", spec.zone());
        }
        if (spec.oneZone()) {
            fields.put("o", true);
        }
        if (spec.spreadAcrossZones()) {
            fields.put("a", true);
        }
        if (spec.spotAllowed()) {
            fields.put("p", true);
        }
        fields.put("i", spec.image());
        fields.put("ig", spec.imageGb());
        fields.put("e", spec.isService() ? SERVICE_EXPECTED_RUN_S : spec.expectedRunS());
        fields.put("k", spec.checkpointIntervalS());
        fields.put("s", spec.checkpointSaveS());
        if (!Double.isNaN(spec.deadlineS())) {
            fields.put("d", spec.deadlineS());
        }
        fields.put("at", spec.submittedMs());
        return fields;
    }

    private static JobSpec readSpec(String jobId, Map<String, Object> fields) {
        double expectedRunS = Fields.getDouble(fields, "e", 1);
        JobType jobType =
                Fields.getBoolean(fields, "g") ? JobType.GANG : expectedRunS < 0 ? JobType.SERVICE : JobType.ARRAY;
        return new JobSpec(
                jobId,
                Fields.getString(fields, "l", ""),
                Fields.getString(fields, "t", ""),
                jobType,
                Priority.values()[(int) Fields.getLong(fields, "u", 1)],
                (int) Fields.getLong(fields, "n", 1),
                new Resources(
                        Fields.getDouble(fields, "c", 0),
                        Fields.getDouble(fields, "q", 0),
                        Fields.getDouble(fields, "r", 0)),
                Fields.getStrings(fields, "b"),
                Fields.getString(fields, "z"),
                Fields.getBoolean(fields, "o"),
                Fields.getBoolean(fields, "a"),
                Fields.getBoolean(fields, "p"),
                Fields.getString(fields, "i", ""),
                Fields.getDouble(fields, "ig", 0),
                Math.max(0, expectedRunS),
                Fields.getDouble(fields, "k", 0),
                Fields.getDouble(fields, "s", 0),
                Fields.getDouble(fields, "d", Double.NaN),
                Fields.getLong(fields, "at", 0));
    }

    // ---- job --------------------------------------------------------------------------------------------------

    /**
     * Whether a job with this specification can be stored in records of {@code maxChars} characters, wherever its
     * tasks are and however they end.
     */
    public static boolean fits(JobSpec spec, int maxChars) {
        return Json.length(writeSpec(spec)) + RECORD_OVERHEAD_CHARS <= maxChars;
    }

    /** Returns the record of a job that has just been submitted. */
    public static Map<String, Object> newRecord(JobSpec spec) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("s", writeSpec(spec));
        record.put("w", "");
        return record;
    }

    /** Whether a user has cancelled the job of this live record. */
    public static boolean isCancelled(Map<String, Object> record) {
        return Fields.getBoolean(record, CANCELLED);
    }

    /** Returns a copy of a live record that is marked as cancelled. */
    public static Map<String, Object> withCancellation(Map<String, Object> record) {
        Map<String, Object> cancelled = new LinkedHashMap<>(record);
        cancelled.put(CANCELLED, true);
        return cancelled;
    }

    /** The number of tasks that a job's main record holds, and the number that each part holds. */
    public record PartLayout(int mainRecordTasks, int tasksPerPart) {}

    /**
     * Returns the layout with which no record of a job exceeds {@code maxChars}, wherever its tasks are and however
     * they end; the worst case is every task on its own machine and every second one done. Each task takes one bit of
     * the bit set of done tasks, which is a sixth of a Base64 character.
     */
    public static PartLayout layoutFor(JobSpec spec, int maxChars, int machineNameChars) {
        double charsPerTask =
                Integer.toString(spec.tasks()).length() + machineNameChars + TASK_OVERHEAD_CHARS + 1 / 6.0;
        int mainRecordTasks =
                (int) Math.floor((maxChars - RECORD_OVERHEAD_CHARS - Json.length(writeSpec(spec))) / charsPerTask);
        int tasksPerPart = (int) Math.floor((maxChars - PART_OVERHEAD_CHARS) / charsPerTask);
        return new PartLayout(Math.max(0, mainRecordTasks), Math.max(1, tasksPerPart));
    }

    /** Returns a job's main record. */
    public static Map<String, Object> write(Job job, String writeId) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("s", writeSpec(job.storedSpec));
        record.put("w", writeId);
        if (job.cancelled) {
            record.put(CANCELLED, true);
        }
        record.put("a", job.lastAttempt);
        if (job.isSplit()) {
            record.put("K", List.of((long) job.mainRecordTasks(), (long) job.tasksPerPart()));
            record.put("cd", (long) job.doneTasks.cardinality());
        }
        if (job.isSplit() || job.spec.isService()) {
            record.put("cr", (long) runningTaskCount(job));
        }
        writeProgress(
                job,
                0,
                job.mainRecordTasks(),
                job.isSplit() ? MAX_FAILURES_CHARS_OF_SPLIT_JOB : MAX_FAILURES_CHARS,
                record);
        return record;
    }

    /**
     * Returns the number of tasks that are reported to the user as running: of an array or a gang the placed ones; of
     * a service only the replicas that run, as its user waits for each of them.
     */
    private static int runningTaskCount(Job job) {
        if (!job.spec.isService()) {
            return job.placements.size();
        }
        int count = 0;
        // A replica placed by an earlier leader most likely runs already; the next report of its machine shows it.
        for (Placement placement : job.placements.values()) {
            if (!Double.isNaN(placement.runningSinceS) || placement.version == 0 && !placement.reported) {
                count++;
            }
        }
        return count;
    }

    /** Returns a part, which holds tasks that the main record leaves out. */
    public static Map<String, Object> writePart(Job job, int part) {
        Map<String, Object> record = new LinkedHashMap<>();
        writeProgress(job, job.firstTaskOf(part), job.firstTaskOf(part + 1), MAX_FAILURES_CHARS_OF_SPLIT_JOB, record);
        return record;
    }

    /** Returns the key of a part of a job. */
    public static String partKey(String jobId, int part) {
        return StateKeys.RECORD_PARTS + jobId + "/" + part;
    }

    private static void writeProgress(
            Job job, int firstTask, int endTask, int maxFailuresChars, Map<String, Object> record) {
        BitSet done = job.doneTasks.get(firstTask, endTask);
        if (!done.isEmpty()) {
            String ranges = formatRanges(done, firstTask);
            // Ranges are short while tasks end in order; otherwise one bit for each task is shorter.
            if (ranges.length() <= (endTask - firstTask) / 6 + 4) {
                record.put("d", ranges);
            } else {
                record.put("D", Base64.getEncoder().withoutPadding().encodeToString(done.toByteArray()));
            }
        }
        List<Placement> placements =
                new ArrayList<>(job.placements.subMap(firstTask, endTask).values());
        if (!placements.isEmpty()) {
            writePlacements(placements, record);
        }
        StringBuilder failures = new StringBuilder();
        for (var failureCount : job.failuresByTask.int2IntEntrySet()) {
            if (failureCount.getIntKey() < firstTask || failureCount.getIntKey() >= endTask) {
                continue;
            }
            if (failures.length() > maxFailuresChars) {
                break; // failure counts only help with retries and must not use up the value limit
            }
            if (failures.length() > 0) {
                failures.append(',');
            }
            failures.append(failureCount.getIntKey()).append('.').append(failureCount.getIntValue());
        }
        if (failures.length() > 0) {
            record.put("e", failures.toString());
        }
    }

    /**
     * Writes the placements. Each group of tasks on one machine and session is written as the machine's name without
     * the prefix common to all names, the zone's number if it is not 0 or a session follows, the session if it is not
     * 1, and then runs of tasks with their attempt, for example "231!1!2=5-10:3,14:4".
     */
    private static void writePlacements(List<Placement> placements, Map<String, Object> record) {
        Map<String, List<Placement>> bySession = new LinkedHashMap<>();
        List<String> zones = new ArrayList<>();
        String prefix = null;
        for (Placement placement : placements) {
            bySession
                    .computeIfAbsent(placement.machine + " " + placement.session, unseen -> new ArrayList<>())
                    .add(placement);
            if (!zones.contains(placement.zone)) {
                zones.add(placement.zone);
            }
            prefix = prefix == null ? placement.machine : Strings.commonPrefix(prefix, placement.machine);
        }
        StringBuilder text = new StringBuilder();
        for (List<Placement> group : bySession.values()) {
            Placement first = group.get(0);
            if (text.length() > 0) {
                text.append(' ');
            }
            text.append(first.machine, prefix.length(), first.machine.length());
            int zoneNumber = zones.indexOf(first.zone);
            if (zoneNumber != 0 || first.session != 1) {
                text.append('!').append(zoneNumber);
            }
            if (first.session != 1) {
                text.append('!').append(first.session);
            }
            text.append('=');
            for (int start = 0; start < group.size(); ) {
                Placement placement = group.get(start);
                int end = start + 1;
                while (end < group.size()
                        && group.get(end).task == placement.task + end - start
                        && group.get(end).attempt == placement.attempt) {
                    end++;
                }
                if (start > 0) {
                    text.append(',');
                }
                text.append(placement.task);
                if (end > start + 1) {
                    text.append('-').append(placement.task + end - start - 1);
                }
                text.append(':').append(placement.attempt);
                start = end;
            }
        }
        record.put("mp", prefix);
        record.put("z", zones);
        record.put("p", text.toString());
    }

    private interface PlacementRunVisitor {
        void visit(String machine, String zone, long session, int firstTask, int lastTask, long attempt);
    }

    private static void forEachPlacementRun(Map<String, Object> record, PlacementRunVisitor visitor) {
        String placements = Fields.getString(record, "p", "");
        if (placements.isEmpty()) {
            return;
        }
        String prefix = Fields.getString(record, "mp", "");
        List<Object> zones = Fields.getList(record, "z");
        for (String entry : placements.split(" ")) {
            int equalsSign = entry.indexOf('=');
            String[] location = entry.substring(0, equalsSign).split("!");
            String zone = (String) zones.get(location.length > 1 ? Integer.parseInt(location[1]) : 0);
            long session = location.length > 2 ? Long.parseLong(location[2]) : 1;
            for (String run : entry.substring(equalsSign + 1).split(",")) {
                int colon = run.indexOf(':');
                int dash = run.lastIndexOf('-', colon);
                int firstTask = Integer.parseInt(run.substring(0, dash < 0 ? colon : dash));
                int lastTask = dash < 0 ? firstTask : Integer.parseInt(run.substring(dash + 1, colon));
                visitor.visit(
                        prefix + location[0],
                        zone,
                        session,
                        firstTask,
                        lastTask,
                        Long.parseLong(run.substring(colon + 1)));
            }
        }
    }

    private static BitSet readDone(Map<String, Object> record, int recordFirstTask) {
        String encodedBits = Fields.getString(record, "D");
        BitSet done = new BitSet();
        if (encodedBits != null) {
            BitSet bits = BitSet.valueOf(Base64.getDecoder().decode(encodedBits));
            for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1)) {
                done.set(recordFirstTask + i);
            }
            return done;
        }
        String ranges = Fields.getString(record, "d", "");
        if (!ranges.isEmpty()) {
            for (String range : ranges.split(",")) {
                int dash = range.indexOf('-');
                if (dash < 0) {
                    done.set(Integer.parseInt(range));
                } else {
                    done.set(
                            Integer.parseInt(range.substring(0, dash)),
                            Integer.parseInt(range.substring(dash + 1)) + 1);
                }
            }
        }
        return done;
    }

    /**
     * Counts of a live record.
     *
     * @param done tasks that are done
     * @param placed tasks that are placed on a machine; of a service the running replicas, if the record has their
     *     number
     */
    public record TaskCounts(int done, int placed) {}

    /** Returns how many tasks of a live record are done and how many are placed. */
    public static TaskCounts taskCounts(Map<String, Object> record) {
        boolean isSplit = record.containsKey("K");
        if (isSplit || record.containsKey("cr")) {
            int done = isSplit ? (int) Fields.getLong(record, "cd", 0) : 0;
            return new TaskCounts(done, (int) Fields.getLong(record, "cr", 0));
        }
        int[] placed = new int[1];
        forEachPlacementRun(
                record,
                (machine, zone, session, firstTask, lastTask, attempt) -> placed[0] += lastTask - firstTask + 1);
        return new TaskCounts(readDone(record, 0).cardinality(), placed[0]);
    }

    private static String formatRanges(BitSet done, int firstTask) {
        StringBuilder text = new StringBuilder();
        for (int i = done.nextSetBit(0); i >= 0; ) {
            int end = done.nextClearBit(i) - 1;
            if (text.length() > 0) {
                text.append(',');
            }
            text.append(firstTask + i);
            if (end > i) {
                text.append('-').append(firstTask + end);
            }
            i = done.nextSetBit(end + 1);
        }
        return text.toString();
    }

    /** Reads a live job from its main record. */
    public static Job read(String jobId, Map<String, Object> record, long revision, double nowS) {
        Job job = new Job(readSpec(jobId, Fields.asMap(record.get("s"))));
        job.revision = revision;
        job.writeId = Fields.getString(record, "w", "");
        job.cancelled = isCancelled(record);
        job.lastAttempt = Fields.getLong(record, "a", 0);
        job.waitingSinceS = nowS;
        List<Object> layout = Fields.getList(record, "K");
        if (layout.size() == 2) {
            job.setLayout(((Number) layout.get(0)).intValue(), ((Number) layout.get(1)).intValue());
        }
        readProgress(job, record, 0, nowS);
        job.everPlaced = job.lastAttempt > 0;
        return job;
    }

    /** Whether a live main record has parts. */
    public static boolean hasParts(Map<String, Object> record) {
        return record.containsKey("K");
    }

    /** Adds the progress stored in a part to its job. */
    public static void readPart(Job job, int part, Map<String, Object> record, double nowS) {
        readProgress(job, record, job.firstTaskOf(part), nowS);
    }

    private static void readProgress(Job job, Map<String, Object> record, int recordFirstTask, double nowS) {
        // Versions before services recorded replicas that ended as done; in this version replicas are never done.
        if (!job.spec.isService()) {
            job.doneTasks.or(readDone(record, recordFirstTask));
        }
        forEachPlacementRun(record, (machine, zone, session, firstTask, lastTask, attempt) -> {
            for (int task = firstTask; task <= lastTask; task++) {
                job.placements.put(task, new Placement(job, task, attempt, machine, zone, session, 0, nowS));
            }
        });
        String failures = Fields.getString(record, "e", "");
        if (!failures.isEmpty()) {
            for (String entry : failures.split(",")) {
                int dot = entry.indexOf('.');
                job.failuresByTask.put(
                        Integer.parseInt(entry.substring(0, dot)), Integer.parseInt(entry.substring(dot + 1)));
            }
        }
    }

    // ---- final record -----------------------------------------------------------------------------------------

    /**
     * Returns the final record of a job.
     *
     * @param done whether the job is done; if not, it was cancelled
     */
    public static Map<String, Object> finalRecord(boolean done, int tasks) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("done", done);
        record.put("n", tasks);
        return record;
    }
}
