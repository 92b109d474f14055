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
 * Tests that records encoded by the production version's own codecs are read, and that records of this version survive
 * a production leader, which reads a record, drops the fields it does not know, and writes it back.
 */
public class ProductionCompatibilityTest {
    static byte[] fixtureBytes(String name) throws IOException {
        try (InputStream in = ProductionCompatibilityTest.class.getResourceAsStream("/production/" + name)) {
            return in.readAllBytes();
        }
    }

    private static Job readJobFixture(String name) throws IOException {
        return JobRecordCodec.read("wk-000102", Cbor.readMap(fixtureBytes(name + ".cbor")), 9, 0);
    }

    /** The fields of a record that the production version knows, in its order. */
    private static final List<String> KNOWN_FIELDS = List.of("s", "w", "x", "a", "d", "D", "mp", "z", "p", "e");

    /** The fields of a specification that the production version knows, in its order. */
    private static final List<String> KNOWN_SPEC_FIELDS = List.of(
            "l", "t", "g", "u", "n", "c", "q", "r", "b", "z", "o", "a", "p", "i", "ig", "e", "k", "s", "d", "at");

    /** Returns a record as it is after a leader of the production version has read it and written it back. */
    public static Map<String, Object> rewrittenByProduction(Map<String, Object> record) {
        Map<String, Object> rewritten = new LinkedHashMap<>(record);
        rewritten.keySet().retainAll(KNOWN_FIELDS);
        Map<String, Object> spec = new LinkedHashMap<>(org.mountlug.wire.Fields.asMap(record.get("s")));
        spec.keySet().retainAll(KNOWN_SPEC_FIELDS);
        rewritten.put("s", spec);
        return rewritten;
    }

    @Test
    void fixturesHaveTheirChecksums() throws Exception {
        String[] lines = new String(fixtureBytes("SHA256SUMS"), StandardCharsets.US_ASCII)
                .strip()
                .split("\n");
        assertEquals(11, lines.length);
        for (String line : lines) {
            String[] sumAndName = line.split("\\s+");
            byte[] sum = MessageDigest.getInstance("SHA-256").digest(fixtureBytes(sumAndName[1]));
            assertEquals(sumAndName[0], HexFormat.of().formatHex(sum), sumAndName[1]);
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
    void jobRecordsOfProductionAreRead(
            String name,
            int tasks,
            int done,
            int placed,
            long lastAttemptOfJob,
            long lastAttemptPlaced,
            boolean cancelled,
            JobType jobType)
            throws IOException {
        Job job = readJobFixture(name);
        assertEquals(tasks, job.spec.tasks());
        if (done >= 0) {
            assertEquals(done, job.doneTasks.cardinality());
        } else {
            assertTrue(job.doneTasks.cardinality() > 700);
        }
        assertEquals(placed, job.placements.size());
        assertEquals(lastAttemptOfJob, job.lastAttempt);
        assertEquals(
                lastAttemptPlaced,
                job.placements.values().stream()
                        .mapToLong(placement -> placement.attempt)
                        .max()
                        .orElse(0));
        assertEquals(cancelled, job.cancelled);
        assertEquals(jobType, job.spec.jobType());
        assertEquals(List.of("meerkat", "kudu"), job.spec.machineTypes());
        assertTrue(job.placements.values().stream()
                .allMatch(placement -> job.isDurable(placement.task, placement.version)));
        // The fixtures derive a machine's zone and session from the number in its name.
        job.placements.values().forEach(placement -> {
            int machineNumber = Integer.parseInt(placement.machine.substring(2));
            assertEquals(List.of("joburg", "capetown", "durban").get(machineNumber % 3), placement.zone);
            assertEquals(machineNumber % 5 == 0 ? 3 : 1, placement.session);
        });
        JobRecordCodec.TaskCounts counts = JobRecordCodec.taskCounts(Cbor.readMap(fixtureBytes(name + ".cbor")));
        assertEquals(List.of(job.doneTasks.cardinality(), placed), List.of(counts.done(), counts.placed()));
    }

    @Test
    void otherRecordsAndPeerFramesOfProductionAreRead() throws IOException {
        assertEquals(Map.of("done", true, "n", 200L), Cbor.readMap(fixtureBytes("final-done.cbor")));
        assertEquals(Map.of("done", false, "n", 20L), Cbor.readMap(fixtureBytes("final-cancelled.cbor")));
        assertEquals(
                JobRecordCodec.finalRecord(true, 200).keySet(),
                Cbor.readMap(fixtureBytes("final-done.cbor")).keySet());
        assertEquals(
                List.of(new Reservation(0, "n-000012"), new Reservation(1, "n-000044")),
                ReservationCodec.read(Cbor.readMap(fixtureBytes("reservations.cbor"))));
        PeerCodec.StatusResponse response =
                new PeerCodec.StatusResponse(5, -77, true, 41, 12, false, List.of("wk-000105", "wk-000001"));
        assertEquals(
                response,
                PeerCodec.readResponse(PeerCodec.nextFrame(ByteBuffer.wrap(fixtureBytes("peer-answer.cbor")))));
        // This version writes the same bytes as production. A longer frame of a later version is read up to the fields
        // that this version knows.
        assertEquals(ByteBuffer.wrap(fixtureBytes("peer-answer.cbor")), PeerCodec.writeResponse(response));
        assertEquals(ByteBuffer.wrap(fixtureBytes("peer-question.cbor")), PeerCodec.writeRequest(5));
        byte[] longerFrame =
                java.util.Arrays.copyOf(fixtureBytes("peer-answer.cbor"), fixtureBytes("peer-answer.cbor").length + 9);
        ByteBuffer.wrap(longerFrame).putInt(0, longerFrame.length - 4);
        assertEquals(response, PeerCodec.readResponse(PeerCodec.nextFrame(ByteBuffer.wrap(longerFrame))));
    }

    /**
     * Without parts, this version writes what production would have written, and nothing is lost when production
     * rewrites it.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"fresh", "half-done", "bit-set", "many-machines", "cancelled", "gang"})
    void recordsWithoutPartsSurviveProduction(String name) throws IOException {
        Job job = readJobFixture(name);
        Map<String, Object> record = Cbor.readMap(Cbor.write(JobRecordCodec.write(job, "50.1")));
        assertEquals(record, Cbor.readMap(Cbor.write(rewrittenByProduction(record))));
        Job decoded = JobRecordCodec.read(job.spec.id(), rewrittenByProduction(record), 10, 0);
        assertEquals(job.spec, decoded.spec);
        assertEquals(job.doneTasks, decoded.doneTasks);
        assertEquals(job.placements.keySet(), decoded.placements.keySet());
        assertEquals(job.lastAttempt, decoded.lastAttempt);
        assertEquals(job.failuresByTask, decoded.failuresByTask);
    }

    @ParameterizedTest
    @EnumSource(JobType.class)
    void jobTypeSurvivesProduction(JobType jobType) throws IOException {
        JobSpec spec =
                Fixtures.spec("wk-000001", jobType, 6, Fixtures.array("x", 1).request(), Priority.PROD);
        Map<String, Object> record = rewrittenByProduction(Cbor.readMap(Cbor.write(JobRecordCodec.newRecord(spec))));
        assertEquals(jobType, JobRecordCodec.read(spec.id(), record, 3, 0).spec.jobType());
        // Production recorded a replica that ended as done; in this version replicas are never done.
        record.put("d", "0-5");
        Job job = JobRecordCodec.read(spec.id(), record, 3, 0);
        assertEquals(jobType == JobType.SERVICE ? 0 : 6, job.doneTasks.cardinality());
        assertEquals(jobType != JobType.SERVICE, job.isComplete());
    }

    /**
     * A job record of production can be split into parts under any value limit, without losing progress or exceeding
     * the limit.
     */
    @ParameterizedTest(name = "{0} in {1} characters")
    @CsvSource({"half-done, 1740", "bit-set, 1740", "many-machines, 1740", "many-machines, 900", "cancelled, 1740"})
    void productionRecordsAreSplitIntoParts(String name, int maxChars) throws IOException {
        Job job = readJobFixture(name);
        JobRecordCodec.PartLayout layout = JobRecordCodec.layoutFor(job.spec, maxChars, 9);
        job.splitIntoParts(layout.mainRecordTasks(), layout.tasksPerPart(), 0);
        Map<String, Object> mainRecord = Cbor.readMap(Cbor.write(JobRecordCodec.write(job, "50.1")));
        assertTrue(Json.length(mainRecord) <= maxChars, mainRecord.toString());
        Job decoded = JobRecordCodec.read(job.spec.id(), mainRecord, 11, 0);
        for (int partNumber = 1; partNumber < job.recordCount(); partNumber++) {
            Map<String, Object> part = Cbor.readMap(Cbor.write(JobRecordCodec.writePart(job, partNumber)));
            assertTrue(Json.length(part) <= maxChars, part.toString());
            JobRecordCodec.readPart(decoded, partNumber, part, 0);
        }
        assertEquals(job.doneTasks, decoded.doneTasks);
        assertEquals(job.placements.keySet(), decoded.placements.keySet());
        job.placements.forEach((task, placement) -> {
            var decodedPlacement = decoded.placements.get(task);
            assertEquals(
                    List.of(placement.machine, placement.zone, placement.session, placement.attempt),
                    List.of(
                            decodedPlacement.machine,
                            decodedPlacement.zone,
                            decodedPlacement.session,
                            decodedPlacement.attempt));
        });
        assertEquals(job.failuresByTask, decoded.failuresByTask);
        assertEquals(
                List.of(job.doneTasks.cardinality(), job.placements.size()),
                List.of(
                        JobRecordCodec.taskCounts(mainRecord).done(),
                        JobRecordCodec.taskCounts(mainRecord).placed()));
    }

    /**
     * A split becomes durable with the write of the main record that refers to the parts. Until then, what was durable
     * stays durable by the old main record, later placements are not durable, and staged parts have no effect.
     */
    @Test
    void splitBecomesDurableAtomically() throws IOException {
        Job job = readJobFixture("many-machines");
        Cluster cluster = Fixtures.cluster();
        Machine machine = new Machine("n-000999", 0);
        machine.zone = "joburg";
        job.splitIntoParts(30, 40, 0);
        assertTrue(job.isSplitPending());
        assertTrue(job.placements.values().stream().allMatch(p -> job.isDurable(p.task, p.version)));
        var newPlacement = cluster.place(job, 1100, 3, machine, 0);
        int[] firstParts = job.partsToWrite(3);
        long stagedVersion = job.version;
        job.markStaged(firstParts, stagedVersion);
        assertTrue(job.isSplitPending() && job.isDirty() && !job.isDurable(1100, newPlacement.version));
        int[] remainingParts = job.partsToWrite(100);
        job.markPersisted(remainingParts, job.version);
        assertTrue(!job.isSplitPending() && !job.isDirty() && job.isDurable(1100, newPlacement.version));
    }
}
