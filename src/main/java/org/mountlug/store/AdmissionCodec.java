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
 * Encodes the published admission table in as many records as its queues need under the value limit, which is the
 * state service's limit on the size of a value. All records of a table carry the time at which it was published. A
 * record with an earlier time remains from a previous table that needed more records, and is ignored.
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
    /** Characters of a record in addition to its queues. */
    private static final int RECORD_OVERHEAD_CHARS = 80;
    /** Characters of a queue in addition to its names and positions. */
    private static final int QUEUE_OVERHEAD_CHARS = 70;

    /** Characters of a position with its comma, stored as a difference of at most one lap of the ring. */
    private static final int POSITION_CHARS = 8;

    private AdmissionCodec() {}

    /**
     * Returns the records of a table, each of at most {@code maxChars} characters unless a single queue needs more. An
     * empty table has one record, so that it replaces an earlier table.
     */
    public static List<Map<String, Object>> write(AdmissionTable table, int maxChars) {
        List<Map<String, Object>> records = new ArrayList<>();
        List<Object> queues = new ArrayList<>();
        int recordChars = RECORD_OVERHEAD_CHARS;
        for (Map.Entry<QueueId, CursorSchedule> entry : new TreeMap<>(table.schedules()).entrySet()) {
            int queueChars = queueChars(entry.getKey(), entry.getValue());
            if (recordChars + queueChars > maxChars && !queues.isEmpty()) {
                records.add(writeRecord(table, queues));
                queues = new ArrayList<>();
                recordChars = RECORD_OVERHEAD_CHARS;
            }
            queues.add(writeQueue(entry.getKey(), entry.getValue()));
            recordChars += queueChars;
        }
        records.add(writeRecord(table, queues));
        return records;
    }

    private static int queueChars(QueueId queue, CursorSchedule schedule) {
        int nameChars = queue.team().length() + queue.jobClass().length();
        return QUEUE_OVERHEAD_CHARS
                + nameChars
                + POSITION_CHARS * schedule.positions().size();
    }

    private static Map<String, Object> writeRecord(AdmissionTable table, List<Object> queues) {
        return Fields.orderedMap(ISSUED_MS, table.issuedMs(), CAPACITY, table.capacityPerS(), QUEUES, queues);
    }

    /** Writes positions as the first one followed by differences, which are shorter. */
    private static Map<String, Object> writeQueue(QueueId queue, CursorSchedule schedule) {
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

    /** Returns the table whose records have the latest time; a queue with an unreadable schedule is left out. */
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
