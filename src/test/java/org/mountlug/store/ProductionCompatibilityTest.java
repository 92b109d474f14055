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
import org.mountlug.Fixtures;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Reservation;
import org.mountlug.peer.PeerCodec;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Json;

/**
 * What the version in production wrote, byte for byte as its own codecs wrote it, is read; and what is written now
 * survives that it reads a record, drops what it does not know, and writes it back.
 */
public class ProductionCompatibilityTest {
    static byte[] bytes(String name) throws IOException {
        try (InputStream in = ProductionCompatibilityTest.class.getResourceAsStream("/production/" + name)) {
            return in.readAllBytes();
        }
    }

    private static Job read(String name) throws IOException {
        return JobRecordCodec.read("wk-000102", Cbor.readMap(bytes(name + ".cbor")), 9, 0);
    }

    /** The fields that the version in production knows of a record, in its order; the same of a description. */
    private static final List<String> KNOWN = List.of("s", "w", "x", "a", "d", "D", "mp", "z", "p", "e");

    private static final List<String> KNOWN_SPEC = List.of(
            "l", "t", "g", "u", "n", "c", "q", "r", "b", "z", "o", "a", "p", "i", "ig", "e", "k", "s", "d", "at");

    /** A record after a leader of the version in production has read it and written it back. */
    public static Map<String, Object> rewrittenByProduction(Map<String, Object> m) {
        Map<String, Object> out = new LinkedHashMap<>(m);
        out.keySet().retainAll(KNOWN);
        Map<String, Object> s = new LinkedHashMap<>(org.mountlug.wire.Fields.asMap(m.get("s")));
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
            String name, int tasks, int done, int placed, long attempts, long last, boolean cancelled, JobType shape)
            throws IOException {
        Job j = read(name);
        assertEquals(tasks, j.spec.tasks());
        if (done >= 0) {
            assertEquals(done, j.doneTasks.cardinality());
        } else {
            assertTrue(j.doneTasks.cardinality() > 700);
        }
        assertEquals(placed, j.placements.size());
        assertEquals(attempts, j.lastAttempt);
        assertEquals(
                last,
                j.placements.values().stream().mapToLong(p -> p.attempt).max().orElse(0));
        assertEquals(cancelled, j.cancelled);
        assertEquals(shape, j.spec.jobType());
        assertEquals(List.of("meerkat", "kudu"), j.spec.machineTypes());
        assertTrue(j.placements.values().stream().allMatch(p -> j.isDurable(p.task, p.version)));
        // The machines' names, zones and sessions are those that the fixtures were made of.
        j.placements.values().forEach(p -> {
            int k = Integer.parseInt(p.machine.substring(2));
            assertEquals(List.of("joburg", "capetown", "durban").get(k % 3), p.zone);
            assertEquals(k % 5 == 0 ? 3 : 1, p.session);
        });
        JobRecordCodec.TaskCounts counts = JobRecordCodec.taskCounts(Cbor.readMap(bytes(name + ".cbor")));
        assertEquals(List.of(j.doneTasks.cardinality(), placed), List.of(counts.done(), counts.placed()));
    }

    @Test
    void itsOtherRecordsAndFramesAreRead() throws IOException {
        assertEquals(Map.of("done", true, "n", 200L), Cbor.readMap(bytes("final-done.cbor")));
        assertEquals(Map.of("done", false, "n", 20L), Cbor.readMap(bytes("final-cancelled.cbor")));
        assertEquals(
                JobRecordCodec.finalRecord(true, 200).keySet(),
                Cbor.readMap(bytes("final-done.cbor")).keySet());
        assertEquals(
                List.of(new Reservation(0, "n-000012"), new Reservation(1, "n-000044")),
                ReservationCodec.read(Cbor.readMap(bytes("reservations.cbor"))));
        PeerCodec.StatusResponse a =
                new PeerCodec.StatusResponse(5, -77, true, 41, 12, false, List.of("wk-000105", "wk-000001"));
        assertEquals(a, PeerCodec.readResponse(PeerCodec.nextFrame(ByteBuffer.wrap(bytes("peer-answer.cbor")))));
        // What we say is what it would say, to the byte; a longer frame of a later version is understood as far as it
        // goes.
        assertEquals(ByteBuffer.wrap(bytes("peer-answer.cbor")), PeerCodec.writeResponse(a));
        assertEquals(ByteBuffer.wrap(bytes("peer-question.cbor")), PeerCodec.writeRequest(5));
        byte[] longer = java.util.Arrays.copyOf(bytes("peer-answer.cbor"), bytes("peer-answer.cbor").length + 9);
        ByteBuffer.wrap(longer).putInt(0, longer.length - 4);
        assertEquals(a, PeerCodec.readResponse(PeerCodec.nextFrame(ByteBuffer.wrap(longer))));
    }

    /** While there are no parts, what is written is what production would have written, and comes back whole. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"fresh", "half-done", "bit-set", "many-machines", "cancelled", "gang"})
    void whatIsWrittenSurvivesProduction(String name) throws IOException {
        Job j = read(name);
        Map<String, Object> m = Cbor.readMap(Cbor.write(JobRecordCodec.write(j, "50.1")));
        assertEquals(m, Cbor.readMap(Cbor.write(rewrittenByProduction(m))));
        Job k = JobRecordCodec.read(j.spec.id(), rewrittenByProduction(m), 10, 0);
        assertEquals(j.spec, k.spec);
        assertEquals(j.doneTasks, k.doneTasks);
        assertEquals(j.placements.keySet(), k.placements.keySet());
        assertEquals(j.lastAttempt, k.lastAttempt);
        assertEquals(j.failuresByTask, k.failuresByTask);
    }

    @ParameterizedTest
    @EnumSource(JobType.class)
    void theShapeSurvivesProduction(JobType shape) throws IOException {
        JobSpec s = Fixtures.spec("wk-000001", shape, 6, Fixtures.array("x", 1).request(), Priority.PROD);
        Map<String, Object> m = rewrittenByProduction(Cbor.readMap(Cbor.write(JobRecordCodec.newRecord(s))));
        assertEquals(shape, JobRecordCodec.read(s.id(), m, 3, 0).spec.jobType());
        // It took a replica's end for a result; no replica has one.
        m.put("d", "0-5");
        Job j = JobRecordCodec.read(s.id(), m, 3, 0);
        assertEquals(shape == JobType.SERVICE ? 0 : 6, j.doneTasks.cardinality());
        assertEquals(shape != JobType.SERVICE, j.isComplete());
    }

    /** A job as production left it goes over to parts, whichever limit: nothing is lost, and nothing passes the limit. */
    @ParameterizedTest(name = "{0} in {1} characters")
    @CsvSource({"half-done, 1740", "bit-set, 1740", "many-machines, 1740", "many-machines, 900", "cancelled, 1740"})
    void whatProductionLeftGoesIntoParts(String name, int chars) throws IOException {
        Job j = read(name);
        JobRecordCodec.PartLayout l = JobRecordCodec.layoutFor(j.spec, chars, 9);
        j.splitIntoParts(l.ownTasks(), l.tasksPerPart(), 0);
        Map<String, Object> own = Cbor.readMap(Cbor.write(JobRecordCodec.write(j, "50.1")));
        assertTrue(Json.length(own) <= chars, own.toString());
        Job k = JobRecordCodec.read(j.spec.id(), own, 11, 0);
        for (int p = 1; p < j.recordCount(); p++) {
            Map<String, Object> part = Cbor.readMap(Cbor.write(JobRecordCodec.writePart(j, p)));
            assertTrue(Json.length(part) <= chars, part.toString());
            JobRecordCodec.readPart(k, p, part, 0);
        }
        assertEquals(j.doneTasks, k.doneTasks);
        assertEquals(j.placements.keySet(), k.placements.keySet());
        j.placements.forEach((t, p) -> {
            var q = k.placements.get(t);
            assertEquals(
                    List.of(p.machine, p.zone, p.session, p.attempt), List.of(q.machine, q.zone, q.session, q.attempt));
        });
        assertEquals(j.failuresByTask, k.failuresByTask);
        assertEquals(
                List.of(j.doneTasks.cardinality(), j.placements.size()),
                List.of(
                        JobRecordCodec.taskCounts(own).done(),
                        JobRecordCodec.taskCounts(own).placed()));
    }

    /**
     * Until the own record says that there are parts, what was durable stays durable by the old one, and what is decided
     * meanwhile waits; a part that is written ahead counts for nothing yet.
     */
    @Test
    void aSwitchIsDurableAtOnceOrNotAtAll() throws IOException {
        Job j = read("many-machines");
        Cluster c = Fixtures.cluster();
        Machine m = new Machine("n-000999", 0);
        m.zone = "joburg";
        j.splitIntoParts(30, 40, 0);
        assertTrue(j.isSplitPending());
        assertTrue(j.placements.values().stream().allMatch(p -> j.isDurable(p.task, p.version)));
        var late = c.place(j, 1100, 3, m, 0);
        int[] first = j.partsToWrite(3);
        long v = j.version;
        j.markStaged(first, v);
        assertTrue(j.isSplitPending() && j.isDirty() && !j.isDurable(1100, late.version));
        int[] rest = j.partsToWrite(100);
        j.markPersisted(rest, j.version);
        assertTrue(!j.isSplitPending() && !j.isDirty() && j.isDurable(1100, late.version));
    }
}
