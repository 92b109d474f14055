package org.mountlug.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.core.admit.AdmissionTable;
import org.mountlug.core.admit.CursorSchedule;
import org.mountlug.core.admit.QueueId;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Json;

/**
 * Tests that the admission table is decoded as it was encoded, within the value limit and without records of earlier
 * tables.
 */
class AdmissionCodecTest {
    private static final long NOW_MS = 1_900_000_000_000L;

    private static AdmissionTable table(long issuedMs, int queues) {
        Map<QueueId, CursorSchedule> schedules = new HashMap<>();
        for (int i = 0; i < queues; i++) {
            long[] advances = {300_000, 0, i, 299_999, 1, 200_000, 7};
            schedules.put(new QueueId("team-" + i % 9, "class-" + i), CursorSchedule.starting(issuedMs, advances));
        }
        return new AdmissionTable(issuedMs, 5.9375, schedules);
    }

    @ParameterizedTest(name = "{0} queues, {1} characters per record: {2} records")
    @CsvSource({"0, 1700, 1", "1, 1700, 1", "10, 1700, 1", "64, 1700, 7", "64, 6900, 2"})
    void tableSurvivesEncoding(int queues, int maxChars, int expectedRecords) throws IOException {
        AdmissionTable table = table(NOW_MS, queues);
        List<Map<String, Object>> storedRecords = new ArrayList<>();
        for (Map<String, Object> record : AdmissionCodec.write(table, maxChars)) {
            assertTrue(Json.length(record) <= maxChars, "the record must be within the value limit");
            storedRecords.add(Cbor.readMap(Cbor.write(record)));
        }
        assertEquals(expectedRecords, storedRecords.size());
        storedRecords.addAll(
                AdmissionCodec.write(table(NOW_MS - 1000, 64), 1700)); // remain from an earlier table with more records
        storedRecords.add(Map.of("t", "text", "q", 5L));
        assertEquals(table, AdmissionCodec.read(storedRecords));
    }

    @ParameterizedTest(name = "positions [{0}]")
    @CsvSource({"5", "'-3 5'", "x 5", "''"})
    void queueWithUnreadableScheduleIsNotLimited(String positions) {
        List<Object> encodedPositions = new ArrayList<>();
        for (String position : positions.split(" ")) {
            encodedPositions.add(position.matches("-?\\d+") ? (Object) Long.valueOf(position) : position);
        }
        Map<String, Object> queue = Map.of("t", "a", "l", "b", "s", 7L, "p", encodedPositions);
        assertEquals(
                new AdmissionTable(NOW_MS, 0, Map.of()),
                AdmissionCodec.read(List.of(Map.of("t", NOW_MS, "q", List.of(queue)))));
    }
}
