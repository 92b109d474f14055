package org.mountlug.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.mountlug.core.admit.AdmissionTable;
import org.mountlug.core.admit.CursorSchedule;
import org.mountlug.core.admit.QueueId;
import org.mountlug.wire.Fields;

/**
 * The published admission table, in as many records as its queues need under the value limit. All records of a table carry
 * the time at which it was issued; one with an earlier time is left over from a table that needed more of them.
 */
public final class AdmissionCodec {
    private static final String ISSUED_MS = "t";
    private static final String CAPACITY = "c";
    private static final String QUEUES = "q";
    private static final String TEAM = "t";
    private static final String JOB_CLASS = "l";
    private static final String STARTED_MS = "b";
    private static final String FIRST_STEP = "s";
    private static final String POSITIONS = "p";
    /** Characters of a record beside its queues. */
    private static final int FIXED_CHARS = 80;
    /** Characters of a queue beside its names and positions, and of a position: up to a lap in a step. */
    private static final int QUEUE_CHARS = 70;

    private static final int POSITION_CHARS = 8;

    private AdmissionCodec() {}

    /** The records of a table, each within so many characters; at least one, so that an empty table can be told. */
    public static List<Map<String, Object>> write(AdmissionTable table, int mostChars) {
        List<Map<String, Object>> records = new ArrayList<>();
        List<Object> queues = new ArrayList<>();
        int chars = FIXED_CHARS;
        for (Map.Entry<QueueId, CursorSchedule> entry : new TreeMap<>(table.schedules()).entrySet()) {
            int more = chars(entry.getKey(), entry.getValue());
            if (chars + more > mostChars && !queues.isEmpty()) {
                records.add(record(table, queues));
                queues = new ArrayList<>();
                chars = FIXED_CHARS;
            }
            queues.add(queue(entry.getKey(), entry.getValue()));
            chars += more;
        }
        records.add(record(table, queues));
        return records;
    }

    private static int chars(QueueId queue, CursorSchedule schedule) {
        int names = queue.team().length() + queue.jobClass().length();
        return QUEUE_CHARS + names + POSITION_CHARS * schedule.positions().size();
    }

    private static Map<String, Object> record(AdmissionTable table, List<Object> queues) {
        return Fields.orderedMap(ISSUED_MS, table.issuedMs(), CAPACITY, table.capacityPerS(), QUEUES, queues);
    }

    /** Positions are written as the first one and then as differences, which are shorter. */
    private static Map<String, Object> queue(QueueId queue, CursorSchedule schedule) {
        List<Object> differences = new ArrayList<>();
        long previous = 0;
        for (long position : schedule.positions()) {
            differences.add(position - previous);
            previous = position;
        }
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put(TEAM, queue.team());
        entry.put(JOB_CLASS, queue.jobClass());
        entry.put(STARTED_MS, schedule.startedMs());
        entry.put(FIRST_STEP, schedule.firstStep());
        entry.put(POSITIONS, differences);
        return entry;
    }

    /** The table that is told by the latest of these records; queues that nobody can read are left out. */
    public static AdmissionTable read(Collection<Map<String, Object>> records) {
        long issuedMs = records.stream()
                .mapToLong(record -> Fields.getLong(record, ISSUED_MS, 0))
                .max()
                .orElse(0);
        double capacityPerS = 0;
        Map<QueueId, CursorSchedule> schedules = new HashMap<>();
        for (Map<String, Object> record : records) {
            if (Fields.getLong(record, ISSUED_MS, 0) == issuedMs) {
                capacityPerS = Fields.getDouble(record, CAPACITY, 0);
                Fields.getList(record, QUEUES).forEach(element -> readQueue(Fields.asMap(element), schedules));
            }
        }
        return new AdmissionTable(issuedMs, capacityPerS, schedules);
    }

    private static void readQueue(Map<String, Object> entry, Map<QueueId, CursorSchedule> schedules) {
        String team = Fields.getString(entry, TEAM);
        String jobClass = Fields.getString(entry, JOB_CLASS);
        List<Long> positions = new ArrayList<>();
        long position = 0;
        for (Object difference : Fields.getList(entry, POSITIONS)) {
            if (!(difference instanceof Number number) || number.longValue() < 0) {
                return;
            }
            position += number.longValue();
            positions.add(position);
        }
        if (team != null && jobClass != null && positions.size() >= 2) {
            long startedMs = Fields.getLong(entry, STARTED_MS, 0);
            long firstStep = Fields.getLong(entry, FIRST_STEP, 0);
            schedules.put(new QueueId(team, jobClass), CursorSchedule.of(startedMs, firstStep, positions));
        }
    }
}
