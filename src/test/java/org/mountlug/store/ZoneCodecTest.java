package org.mountlug.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mountlug.core.zone.ZoneSnapshot;
import org.mountlug.core.zone.ZoneState;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Json;

/**
 * Tests that the zones' state is decoded as it was encoded, within the value limit, and that unreadable entries do not
 * keep a leader from reading the others.
 */
class ZoneCodecTest {
    private static final long NOW_MS = 1_900_000_000_000L;

    private static ZoneSnapshot zone(String name, ZoneState state) {
        return new ZoneSnapshot(name, state, 2, 3.5, 20.25, 18, 930, 46.5);
    }

    @Test
    void snapshotsSurviveEncoding() throws IOException {
        List<ZoneSnapshot> zones = List.of(zone("a", ZoneState.RETURNING), zone("b", ZoneState.SUSPECT));
        Map<String, Object> record = Cbor.readMap(Cbor.write(ZoneCodec.write(zones, NOW_MS, 8000)));
        assertEquals(zones, ZoneCodec.read(record, NOW_MS));
        assertEquals(13.5, ZoneCodec.read(record, NOW_MS + 10_000).get(0).stateAgeS());
        assertEquals(
                0,
                ZoneCodec.read(record, NOW_MS - 60_000).get(0).stateAgeS(),
                "a clock behind the writer's must not give a negative age");
    }

    @Test
    void recordStaysWithinValueLimitAndDropsPresentZonesFirst() {
        List<ZoneSnapshot> zones = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            zones.add(zone("a-zone-of-a-long-name-" + i, i % 4 == 0 ? ZoneState.LOST : ZoneState.PRESENT));
        }
        Map<String, Object> record = ZoneCodec.write(zones, NOW_MS, 1700);
        assertTrue(Json.length(record) <= 1700);
        List<ZoneSnapshot> read = ZoneCodec.read(record, NOW_MS);
        assertEquals(
                10, read.stream().filter(zone -> zone.state() == ZoneState.LOST).count());
    }

    @Test
    void unreadableEntriesAreLeftOut() {
        Map<String, Object> valid = new HashMap<>(Map.of("n", "a", "s", 2L));
        for (Object unreadable :
                List.of(Map.of(), Map.of("n", "b"), Map.of("n", "c", "s", 9L), Map.of("s", 1L), "text")) {
            List<ZoneSnapshot> read = ZoneCodec.read(Map.of("z", List.of(unreadable, valid)), NOW_MS);
            assertEquals(List.of("a"), read.stream().map(ZoneSnapshot::zone).toList());
        }
        assertEquals(List.of(), ZoneCodec.read(Map.of("other", 1L), NOW_MS));
    }
}
