package org.mountlug.store;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.Constants;
import org.mountlug.Samples;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.wire.Cbor;

import java.io.IOException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Records survive the trip to the state service, and the largest job's fits the value limit. */
class RecordCodecTest {
    private static Job trip(Job j) throws IOException {
        return RecordCodec.job(j.spec.id(), Cbor.readMap(Cbor.write(RecordCodec.job(j, "7.1"))), 9, 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 64, 1000})
    void progressSurvives(int tasks) throws IOException {
        Cluster c = Samples.cluster();
        Machine m = Samples.up(c, "n-1", "small", "a");
        Job j = Samples.live(c, Samples.array("wk-000001", tasks));
        for (int t = 0; t < tasks; t++) {
            if (t % 3 != 1) j.done.set(t);
            else c.place(j, t, ++j.attempts, m, 0);
        }
        j.failures.put(1, 4);
        Job k = trip(j);
        assertEquals(j.done, k.done);
        assertEquals(j.placed.keySet(), k.placed.keySet());
        assertEquals(j.attempts, k.attempts);
        assertEquals(4, k.failures.get(1));
        assertEquals(j.spec.need(), k.spec.need());
        k.placed.values().forEach(p -> assertEquals("a", p.zone));
        assertTrue(k.durable(k.placed.isEmpty() ? 0 : k.placed.values().iterator().next().version));
    }

    @Test
    void theLargestArrayFitsTheValueLimit() {
        Cluster c = Samples.cluster();
        Job j = Samples.live(c, Samples.array("wk-000001", Constants.TASKS_MAX));
        j.attempts = 40_000;
        // Tasks start in order: below the lowest open one all is done, and gaps are never more than what is placed.
        j.done.set(0, 90_000);
        for (int i = 0; i < Constants.ACTIVE_MAX; i++) {
            Machine m = Samples.up(c, "n-0" + (10_000 + i % 66), "small", "a");
            c.place(j, 90_000 + 2 * i, ++j.attempts, m, 0);
            j.done.set(90_001 + 2 * i);
        }
        assertTrue(String.valueOf(RecordCodec.job(j, "999999.999999")).length() + 400 < 8 * 1024);
    }
}
