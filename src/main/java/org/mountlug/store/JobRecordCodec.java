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
 * Records in the state service. A job's progress is written as runs of finished tasks, or a bit for each, and as runs of
 * placed ones by machine. A job whose tasks might not fit into one record keeps the first in its own and the others in
 * parts of a fixed number of tasks each ({@link #layoutFor}), so that every task has one place and no record can pass the
 * value limit. The job's own record stays the point of serialisation: each write of a part writes it too, and so fails
 * with it.
 *
 * <p>Versions before parts know only the own record, so parts are written once no controller runs one of them; what
 * they do not know of a record they lose when they write it back. {@code docs/design.md} lists what is compatible.
 */
public final class JobRecordCodec {
    /** Field of a live record: its user has cancelled the job. */
    private static final String CANCELLED = "x";

    /** Characters of a record beside its description and tasks: keys, write, zones, counts, failures. */
    private static final int FIXED_CHARS = 300;
    /** The same of a part. */
    private static final int PART_FIXED_CHARS = 220;
    /** Characters of failures in a record, a help for retries only; the first is what a version before parts took. */
    private static final int FAILURES_CHARS = 600;

    private static final int FAILURES_PART_CHARS = 90;
    /** Characters of a task at the worst, beside its number and machine: attempt, session, zone and signs. */
    private static final int TASK_CHARS = 17;
    /** What a version before parts keeps of a service: no run time is below nothing, and it writes it back as it is. */
    private static final double SERVICE_EXPECTED = -1;

    private JobRecordCodec() {}

    // ---- specification ----------------------------------------------------------------------------------------

    /** The specification as it stands in a record. */
    public static Map<String, Object> spec(JobSpec s) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("l", s.jobClass());
        m.put("t", s.team());
        m.put("g", s.isGang());
        m.put("u", s.priority().ordinal());
        m.put("n", s.tasks());
        m.put("c", s.request().cpus());
        m.put("q", s.request().gpus());
        m.put("r", s.request().ramGb());
        if (s.machineTypes() != null) {
            m.put("b", s.machineTypes());
        }
        if (s.zone() != null) {
            m.put("z", s.zone());
        }
        if (s.oneZone()) {
            m.put("o", true);
        }
        if (s.spreadAcrossZones()) {
            m.put("a", true);
        }
        if (s.spotAllowed()) {
            m.put("p", true);
        }
        m.put("i", s.image());
        m.put("ig", s.imageGb());
        m.put("e", s.isService() ? SERVICE_EXPECTED : s.expectedRunS());
        m.put("k", s.checkpointIntervalS());
        m.put("s", s.checkpointSaveS());
        if (!Double.isNaN(s.deadlineS())) {
            m.put("d", s.deadlineS());
        }
        m.put("at", s.submittedMs());
        return m;
    }

    private static JobSpec spec(String id, Map<String, Object> m) {
        double expected = Fields.getDouble(m, "e", 1);
        JobType shape = Fields.getBoolean(m, "g") ? JobType.GANG : expected < 0 ? JobType.SERVICE : JobType.ARRAY;
        return new JobSpec(
                id,
                Fields.getString(m, "l", ""),
                Fields.getString(m, "t", ""),
                shape,
                Priority.values()[(int) Fields.getLong(m, "u", 1)],
                (int) Fields.getLong(m, "n", 1),
                new Resources(Fields.getDouble(m, "c", 0), Fields.getDouble(m, "q", 0), Fields.getDouble(m, "r", 0)),
                Fields.getStrings(m, "b"),
                Fields.getString(m, "z"),
                Fields.getBoolean(m, "o"),
                Fields.getBoolean(m, "a"),
                Fields.getBoolean(m, "p"),
                Fields.getString(m, "i", ""),
                Fields.getDouble(m, "ig", 0),
                Math.max(0, expected),
                Fields.getDouble(m, "k", 0),
                Fields.getDouble(m, "s", 0),
                Fields.getDouble(m, "d", Double.NaN),
                Fields.getLong(m, "at", 0));
    }

    // ---- job --------------------------------------------------------------------------------------------------

    /** Whether a job with this description can be stored, whatever becomes of its tasks, in records of so many characters. */
    public static boolean fits(JobSpec s, int chars) {
        return Json.length(spec(s)) + FIXED_CHARS <= chars;
    }

    /** A record just submitted. */
    public static Map<String, Object> newRecord(JobSpec s) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("s", spec(s));
        m.put("w", "");
        return m;
    }

    /** Whether a user has cancelled the job of this live record. */
    public static boolean isCancelled(Map<String, Object> record) {
        return Fields.getBoolean(record, CANCELLED);
    }

    /** The same record, cancelled. */
    public static Map<String, Object> withCancellation(Map<String, Object> record) {
        Map<String, Object> cancelled = new LinkedHashMap<>(record);
        cancelled.put(CANCELLED, true);
        return cancelled;
    }

    /** How many tasks a job's own record holds, and how many each part. */
    public record PartLayout(int ownTasks, int tasksPerPart) {}

    /**
     * How to store a job so that no record passes {@code chars}, wherever its tasks are and however they end: every
     * task on a machine of its own and every second one done.
     */
    public static PartLayout layoutFor(JobSpec s, int chars, int machineNameChars) {
        double each = Integer.toString(s.tasks()).length() + machineNameChars + TASK_CHARS + 1 / 6.0;
        int own = (int) Math.floor((chars - FIXED_CHARS - Json.length(spec(s))) / each);
        int per = (int) Math.floor((chars - PART_FIXED_CHARS) / each);
        return new PartLayout(Math.max(0, own), Math.max(1, per));
    }

    /** A job's own record. */
    public static Map<String, Object> write(Job j, String writeId) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("s", spec(j.storedSpec));
        m.put("w", writeId);
        if (j.cancelled) {
            m.put(CANCELLED, true);
        }
        m.put("a", j.lastAttempt);
        if (j.isSplit()) {
            m.put("K", List.of((long) j.mainRecordTasks(), (long) j.tasksPerPart()));
            m.put("cd", (long) j.doneTasks.cardinality());
        }
        if (j.isSplit() || j.spec.isService()) {
            m.put("cr", (long) running(j));
        }
        progress(j, 0, j.mainRecordTasks(), j.isSplit() ? FAILURES_PART_CHARS : FAILURES_CHARS, m);
        return m;
    }

    /** The tasks that are told as running: of a service only those that run, as its user waits for each of them. */
    private static int running(Job j) {
        if (!j.spec.isService()) {
            return j.placements.size();
        }
        int n = 0;
        // What an earlier leader placed ran, most likely, and will soon be seen to.
        for (Placement p : j.placements.values()) {
            if (!Double.isNaN(p.runningSinceS) || p.version == 0 && !p.reported) {
                n++;
            }
        }
        return n;
    }

    /** A part, which holds whatever a job's own record leaves to it. */
    public static Map<String, Object> writePart(Job j, int writePart) {
        Map<String, Object> m = new LinkedHashMap<>();
        progress(j, j.firstTaskOf(writePart), j.firstTaskOf(writePart + 1), FAILURES_PART_CHARS, m);
        return m;
    }

    /** The key of a further part of a job. */
    public static String partKey(String job, int part) {
        return StateKeys.RECORD_PARTS + job + "/" + part;
    }

    private static void progress(Job j, int from, int to, int failuresChars, Map<String, Object> m) {
        BitSet done = j.doneTasks.get(from, to);
        if (!done.isEmpty()) {
            String ranges = ranges(done, from);
            // Ranges are short while tasks end in order; where they do not, a bit a task is shorter.
            if (ranges.length() <= (to - from) / 6 + 4) {
                m.put("d", ranges);
            } else {
                m.put("D", Base64.getEncoder().withoutPadding().encodeToString(done.toByteArray()));
            }
        }
        List<Placement> placed = new ArrayList<>(j.placements.subMap(from, to).values());
        if (!placed.isEmpty()) {
            placed(placed, m);
        }
        StringBuilder e = new StringBuilder();
        for (var f : j.failuresByTask.int2IntEntrySet()) {
            if (f.getIntKey() < from || f.getIntKey() >= to) {
                continue;
            }
            if (e.length() > failuresChars) {
                break; // a help for retries only, never worth the record's limit
            }
            if (e.length() > 0) {
                e.append(',');
            }
            e.append(f.getIntKey()).append('.').append(f.getIntValue());
        }
        if (e.length() > 0) {
            m.put("e", e.toString());
        }
    }

    /**
     * Where the tasks are: for each machine its name without what all names begin with, its zone's number and its
     * session where they are not the usual ones, then runs of tasks with their attempt, "231!1!2=5-10:3,14:4".
     */
    private static void placed(List<Placement> placed, Map<String, Object> m) {
        Map<String, List<Placement>> by = new LinkedHashMap<>();
        List<String> zones = new ArrayList<>();
        String prefix = null;
        for (Placement p : placed) {
            by.computeIfAbsent(p.machine + " " + p.session, k -> new ArrayList<>())
                    .add(p);
            if (!zones.contains(p.zone)) {
                zones.add(p.zone);
            }
            prefix = prefix == null ? p.machine : Strings.commonPrefix(prefix, p.machine);
        }
        StringBuilder b = new StringBuilder();
        for (List<Placement> l : by.values()) {
            Placement first = l.get(0);
            if (b.length() > 0) {
                b.append(' ');
            }
            b.append(first.machine, prefix.length(), first.machine.length());
            int zone = zones.indexOf(first.zone);
            if (zone != 0 || first.session != 1) {
                b.append('!').append(zone);
            }
            if (first.session != 1) {
                b.append('!').append(first.session);
            }
            b.append('=');
            for (int i = 0; i < l.size(); ) {
                Placement p = l.get(i);
                int k = i + 1;
                while (k < l.size() && l.get(k).task == p.task + k - i && l.get(k).attempt == p.attempt) {
                    k++;
                }
                if (i > 0) {
                    b.append(',');
                }
                b.append(p.task);
                if (k > i + 1) {
                    b.append('-').append(p.task + k - i - 1);
                }
                b.append(':').append(p.attempt);
                i = k;
            }
        }
        m.put("mp", prefix);
        m.put("z", zones);
        m.put("p", b.toString());
    }

    private interface Run {
        void run(String machine, String zone, long session, int from, int to, long attempt);
    }

    private static void runs(Map<String, Object> m, Run each) {
        String p = Fields.getString(m, "p", "");
        if (p.isEmpty()) {
            return;
        }
        String prefix = Fields.getString(m, "mp", "");
        List<Object> zones = Fields.getList(m, "z");
        for (String entry : p.split(" ")) {
            int eq = entry.indexOf('=');
            String[] head = entry.substring(0, eq).split("!");
            String zone = (String) zones.get(head.length > 1 ? Integer.parseInt(head[1]) : 0);
            long session = head.length > 2 ? Long.parseLong(head[2]) : 1;
            for (String r : entry.substring(eq + 1).split(",")) {
                int colon = r.indexOf(':');
                int dash = r.lastIndexOf('-', colon);
                int from = Integer.parseInt(r.substring(0, dash < 0 ? colon : dash));
                int to = dash < 0 ? from : Integer.parseInt(r.substring(dash + 1, colon));
                each.run(prefix + head[0], zone, session, from, to, Long.parseLong(r.substring(colon + 1)));
            }
        }
    }

    private static BitSet done(Map<String, Object> m, int first) {
        String bits = Fields.getString(m, "D");
        BitSet done = new BitSet();
        if (bits != null) {
            BitSet b = BitSet.valueOf(Base64.getDecoder().decode(bits));
            for (int i = b.nextSetBit(0); i >= 0; i = b.nextSetBit(i + 1)) {
                done.set(first + i);
            }
            return done;
        }
        String d = Fields.getString(m, "d", "");
        if (!d.isEmpty()) {
            for (String r : d.split(",")) {
                int dash = r.indexOf('-');
                if (dash < 0) {
                    done.set(Integer.parseInt(r));
                } else {
                    done.set(Integer.parseInt(r.substring(0, dash)), Integer.parseInt(r.substring(dash + 1)) + 1);
                }
            }
        }
        return done;
    }

    /** Tasks of a live record that are done, and tasks that are placed on a machine. */
    public record TaskCounts(int done, int placed) {}

    /** How many tasks of a live record are done and how many are placed. */
    public static TaskCounts taskCounts(Map<String, Object> record) {
        boolean parts = record.containsKey("K");
        if (parts || record.containsKey("cr")) {
            int done = parts ? (int) Fields.getLong(record, "cd", 0) : 0;
            return new TaskCounts(done, (int) Fields.getLong(record, "cr", 0));
        }
        int[] placed = new int[1];
        runs(record, (machine, zone, session, from, to, attempt) -> placed[0] += to - from + 1);
        return new TaskCounts(done(record, 0).cardinality(), placed[0]);
    }

    private static String ranges(BitSet done, int first) {
        StringBuilder b = new StringBuilder();
        for (int i = done.nextSetBit(0); i >= 0; ) {
            int end = done.nextClearBit(i) - 1;
            if (b.length() > 0) {
                b.append(',');
            }
            b.append(first + i);
            if (end > i) {
                b.append('-').append(first + end);
            }
            i = done.nextSetBit(end + 1);
        }
        return b.toString();
    }

    /** Reads a live job from its record. */
    public static Job read(String id, Map<String, Object> m, long revision, double nowS) {
        Job j = new Job(spec(id, Fields.asMap(m.get("s"))));
        j.revision = revision;
        j.writeId = Fields.getString(m, "w", "");
        j.cancelled = isCancelled(m);
        j.lastAttempt = Fields.getLong(m, "a", 0);
        j.waitingSinceS = nowS;
        List<Object> k = Fields.getList(m, "K");
        if (k.size() == 2) {
            j.setLayout(((Number) k.get(0)).intValue(), ((Number) k.get(1)).intValue());
        }
        progress(j, m, 0, nowS);
        j.everPlaced = j.lastAttempt > 0;
        return j;
    }

    /** Whether a live record leaves tasks to parts. */
    public static boolean hasParts(Map<String, Object> m) {
        return m.containsKey("K");
    }

    /** Takes in a part of a job that has such. */
    public static void readPart(Job j, int readPart, Map<String, Object> m, double nowS) {
        progress(j, m, j.firstTaskOf(readPart), nowS);
    }

    private static void progress(Job j, Map<String, Object> m, int first, double nowS) {
        // A version before services noted replicas that ended as done; for us they never are.
        if (!j.spec.isService()) {
            j.doneTasks.or(done(m, first));
        }
        runs(m, (machine, zone, session, from, to, attempt) -> {
            for (int t = from; t <= to; t++) {
                j.placements.put(t, new Placement(j, t, attempt, machine, zone, session, 0, nowS));
            }
        });
        String e = Fields.getString(m, "e", "");
        if (!e.isEmpty()) {
            for (String r : e.split(",")) {
                int dot = r.indexOf('.');
                j.failuresByTask.put(Integer.parseInt(r.substring(0, dot)), Integer.parseInt(r.substring(dot + 1)));
            }
        }
    }

    // ---- final ------------------------------------------------------------------------------------------------

    /** The record of a job that is over. */
    public static Map<String, Object> finalRecord(boolean done, int tasks) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("done", done);
        m.put("n", tasks);
        return m;
    }
}
