package org.mountlug.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.Samples;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.model.Shape;
import org.mountlug.core.model.Urgency;
import org.mountlug.peer.PeerCodec;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Json;

/**
 * What the version in production wrote, byte for byte as its own codecs wrote it, is read; and what is written now
 * survives that it reads a record, drops what it does not know, and writes it back.
 */
public class ProductionTest {
    static byte[] bytes(String name) throws IOException {
        try (InputStream in = ProductionTest.class.getResourceAsStream("/production/" + name)) {
            return in.readAllBytes();
        }
    }

    private static Job read(String name) throws IOException {
        return RecordCodec.job("wk-000102", Cbor.readMap(bytes(name + ".cbor")), 9, 0);
    }

    /** The fields that the version in production knows of a record, in its order; the same of a description. */
    private static final List<String> KNOWN = List.of("s", "w", "x", "a", "d", "D", "mp", "z", "p", "e");

    private static final List<String> KNOWN_SPEC = List.of(
            "l", "t", "g", "u", "n", "c", "q", "r", "b", "z", "o", "a", "p", "i", "ig", "e", "k", "s", "d", "at");

    /** A record after a leader of the version in production has read it and written it back. */
    public static Map<String, Object> throughProduction(Map<String, Object> m) {
        Map<String, Object> out = new LinkedHashMap<>(m);
        out.keySet().retainAll(KNOWN);
        Map<String, Object> s = new LinkedHashMap<>(org.mountlug.wire.Fields.map(m.get("s")));
        s.keySet().retainAll(KNOWN_SPEC);
        out.put("s", s);
        return out;
    }

    @Test
    void theFixturesAreAsProductionWroteThem() throws Exception {
        String[] lines = new String(bytes("SHA256SUMS"), StandardCharsets.US_ASCII)
                .strip()
                .split("\n");
        assertEquals(11, lines.length);
        for (String l : lines) {
            String[] f = l.split("\\s+");
            byte[] sum = MessageDigest.getInstance("SHA-256").digest(bytes(f[1]));
            assertEquals(f[0], HexFormat.of().formatHex(sum), f[1]);
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "fresh, 200, 0, 0, 0, 0, false, ARRAY",
        "half-done, 200, 90, 50, 4, 4, false, ARRAY",
        "bit-set, 1200, -1, 40, 9, 9, false, ARRAY",
        "many-machines, 1200, 0, 165, 2, 2, false, ARRAY",
        "cancelled, 20, 0, 20, 1, 1, true, ARRAY",
        "gang, 4, 0, 4, 3, 3, false, GANG"
    })
    void itsRecordsAreRead(
            String name, int tasks, int done, int placed, long attempts, long last, boolean cancelled, Shape shape)
            throws IOException {
        Job j = read(name);
        assertEquals(tasks, j.spec.tasks());
        if (done >= 0) {
            assertEquals(done, j.done.cardinality());
        } else {
            assertTrue(j.done.cardinality() > 700);
        }
        assertEquals(placed, j.placed.size());
        assertEquals(attempts, j.attempts);
        assertEquals(
                last, j.placed.values().stream().mapToLong(p -> p.attempt).max().orElse(0));
        assertEquals(cancelled, j.cancelled);
        assertEquals(shape, j.spec.shape());
        assertEquals(List.of("meerkat", "kudu"), j.spec.types());
        assertTrue(j.placed.values().stream().allMatch(p -> j.durable(p.task, p.version)));
        // The machines' names, zones and sessions are those that the fixtures were made of.
        j.placed.values().forEach(p -> {
            int k = Integer.parseInt(p.machine.substring(2));
            assertEquals(List.of("joburg", "capetown", "durban").get(k % 3), p.zone);
            assertEquals(k % 5 == 0 ? 3 : 1, p.session);
        });
        RecordCodec.TaskCounts counts = RecordCodec.counts(Cbor.readMap(bytes(name + ".cbor")));
        assertEquals(List.of(j.done.cardinality(), placed), List.of(counts.done(), counts.placed()));
    }

    @Test
    void itsOtherRecordsAndFramesAreRead() throws IOException {
        assertEquals(Map.of("done", true, "n", 200L), Cbor.readMap(bytes("final-done.cbor")));
        assertEquals(Map.of("done", false, "n", 20L), Cbor.readMap(bytes("final-cancelled.cbor")));
        assertEquals(
                RecordCodec.over(true, 200).keySet(),
                Cbor.readMap(bytes("final-done.cbor")).keySet());
        assertEquals(
                List.of(new Reservation(0, "n-000012"), new Reservation(1, "n-000044")),
                ReservationCodec.read(Cbor.readMap(bytes("reservations.cbor"))));
        PeerCodec.Answer a = new PeerCodec.Answer(5, -77, true, 41, 12, false, List.of("wk-000105", "wk-000001"));
        assertEquals(a, PeerCodec.answer(PeerCodec.next(ByteBuffer.wrap(bytes("peer-answer.cbor")))));
        // What we say is what it would say, to the byte; a longer frame of a later version is understood as far as it
        // goes.
        assertEquals(ByteBuffer.wrap(bytes("peer-answer.cbor")), PeerCodec.answer(a));
        assertEquals(ByteBuffer.wrap(bytes("peer-question.cbor")), PeerCodec.question(5));
        byte[] longer = java.util.Arrays.copyOf(bytes("peer-answer.cbor"), bytes("peer-answer.cbor").length + 9);
        ByteBuffer.wrap(longer).putInt(0, longer.length - 4);
        assertEquals(a, PeerCodec.answer(PeerCodec.next(ByteBuffer.wrap(longer))));
    }

    /** While there are no parts, what is written is what production would have written, and comes back whole. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"fresh", "half-done", "bit-set", "many-machines", "cancelled", "gang"})
    void whatIsWrittenSurvivesProduction(String name) throws IOException {
        Job j = read(name);
        Map<String, Object> m = Cbor.readMap(Cbor.write(RecordCodec.job(j, "50.1")));
        assertEquals(m, Cbor.readMap(Cbor.write(throughProduction(m))));
        Job k = RecordCodec.job(j.spec.id(), throughProduction(m), 10, 0);
        assertEquals(j.spec, k.spec);
        assertEquals(j.done, k.done);
        assertEquals(j.placed.keySet(), k.placed.keySet());
        assertEquals(j.attempts, k.attempts);
        assertEquals(j.failures, k.failures);
    }

    @ParameterizedTest
    @EnumSource(Shape.class)
    void theShapeSurvivesProduction(Shape shape) throws IOException {
        JobSpec s = Samples.spec("wk-000001", shape, 6, Samples.array("x", 1).need(), Urgency.PROD);
        Map<String, Object> m = throughProduction(Cbor.readMap(Cbor.write(RecordCodec.fresh(s))));
        assertEquals(shape, RecordCodec.job(s.id(), m, 3, 0).spec.shape());
        // It took a replica's end for a result; no replica has one.
        m.put("d", "0-5");
        Job j = RecordCodec.job(s.id(), m, 3, 0);
        assertEquals(shape == Shape.SERVICE ? 0 : 6, j.done.cardinality());
        assertEquals(shape != Shape.SERVICE, j.complete());
    }

    /** A job as production left it goes over to parts, whichever limit: nothing is lost, and nothing passes the limit. */
    @ParameterizedTest(name = "{0} in {1} characters")
    @CsvSource({"half-done, 1740", "bit-set, 1740", "many-machines, 1740", "many-machines, 900", "cancelled, 1740"})
    void whatProductionLeftGoesIntoParts(String name, int chars) throws IOException {
        Job j = read(name);
        RecordCodec.Layout l = RecordCodec.layout(j.spec, chars, 9);
        j.split(l.own(), l.per(), 0);
        Map<String, Object> own = Cbor.readMap(Cbor.write(RecordCodec.job(j, "50.1")));
        assertTrue(Json.length(own) <= chars, own.toString());
        Job k = RecordCodec.job(j.spec.id(), own, 11, 0);
        for (int p = 1; p < j.parts(); p++) {
            Map<String, Object> part = Cbor.readMap(Cbor.write(RecordCodec.part(j, p)));
            assertTrue(Json.length(part) <= chars, part.toString());
            RecordCodec.part(k, p, part, 0);
        }
        assertEquals(j.done, k.done);
        assertEquals(j.placed.keySet(), k.placed.keySet());
        j.placed.forEach((t, p) -> {
            var q = k.placed.get(t);
            assertEquals(
                    List.of(p.machine, p.zone, p.session, p.attempt), List.of(q.machine, q.zone, q.session, q.attempt));
        });
        assertEquals(j.failures, k.failures);
        assertEquals(
                List.of(j.done.cardinality(), j.placed.size()),
                List.of(RecordCodec.counts(own).done(), RecordCodec.counts(own).placed()));
    }

    /**
     * Until the own record says that there are parts, what was durable stays durable by the old one, and what is decided
     * meanwhile waits; a part that is written ahead counts for nothing yet.
     */
    @Test
    void aSwitchIsDurableAtOnceOrNotAtAll() throws IOException {
        Job j = read("many-machines");
        Cluster c = Samples.cluster();
        Machine m = new Machine("n-000999", 0);
        m.zone = "joburg";
        j.split(30, 40, 0);
        assertTrue(j.switching());
        assertTrue(j.placed.values().stream().allMatch(p -> j.durable(p.task, p.version)));
        var late = c.place(j, 1100, 3, m, 0);
        int[] first = j.partsToWrite(3);
        long v = j.version;
        j.staged(first, v);
        assertTrue(j.switching() && j.dirty() && !j.durable(1100, late.version));
        int[] rest = j.partsToWrite(100);
        j.persisted(rest, j.version);
        assertTrue(!j.switching() && !j.dirty() && j.durable(1100, late.version));
    }
}
