package org.mountlug.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.Fixtures;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Json;

/** Tests that records are decoded as they were encoded, and that those of the largest job fit into the value limit. */
class JobRecordCodecTest {
    private static Job encodeAndDecode(Job job) throws IOException {
        return JobRecordCodec.read(job.spec.id(), Cbor.readMap(Cbor.write(JobRecordCodec.write(job, "7.1"))), 9, 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 64, 1000})
    void progressSurvivesEncoding(int tasks) throws IOException {
        Cluster cluster = Fixtures.cluster();
        Machine machine = Fixtures.addMachine(cluster, "n-1", "small", "a");
        Job job = Fixtures.addJob(cluster, Fixtures.array("wk-000001", tasks));
        for (int task = 0; task < tasks; task++) {
            if (task % 3 != 1) {
                job.doneTasks.set(task);
            } else {
                cluster.place(job, task, ++job.lastAttempt, machine, 0);
            }
        }
        job.failuresByTask.put(0, 4);
        Job decoded = encodeAndDecode(job);
        assertEquals(job.doneTasks, decoded.doneTasks);
        assertEquals(job.placements.keySet(), decoded.placements.keySet());
        assertEquals(job.lastAttempt, decoded.lastAttempt);
        assertEquals(4, decoded.failuresByTask.get(0));
        assertEquals(job.spec.request(), decoded.spec.request());
        decoded.placements.values().forEach(p -> assertEquals("a", p.zone));
        assertTrue(decoded.placements.values().stream().allMatch(p -> decoded.isDurable(p.task, p.version)));
    }

    /**
     * No record exceeds the value limit, whichever machines the tasks are placed on and in whatever order they end, as
     * long as no more tasks are placed than {@link Cluster#remainingRecordTasks} allows.
     */
    @ParameterizedTest(name = "{0} tasks, {1} per machine, ending tasks: {2}")
    @CsvSource({
        "350, 1, random",
        "350, 16, random",
        "1200, 2, random",
        "1200, 12, random",
        "1200, 12, every other",
        "5000, 1, random",
        "5000, 12, every other",
        "100000, 12, random",
        "100000, 2, every other"
    })
    void recordNeverExceedsValueLimit(int tasks, int tasksPerMachine, String endingTasks) throws IOException {
        Random random = new Random(tasks + tasksPerMachine);
        Cluster cluster = Fixtures.cluster();
        Job job = Fixtures.addJob(cluster, Fixtures.array("wk-000001", tasks));
        int maxPlaced = 0;
        for (int round = 0; round < 60; round++) {
            int remainingTasks = cluster.remainingRecordTasks(job);
            job.lastAttempt++;
            Machine machine = null;
            for (int task = job.doneTasks.nextClearBit(0), placed = 0;
                    task < tasks && placed < remainingTasks;
                    task++) {
                if (job.doneTasks.get(task) || job.placements.containsKey(task)) {
                    continue;
                }
                if (placed++ % tasksPerMachine == 0) {
                    machine = new Machine(String.format("n-%06d", random.nextInt(1_000_000)), 0);
                    machine.zone = placed % 3 == 0 ? "a" : "b";
                    machine.session = 1 + random.nextInt(30);
                }
                cluster.place(job, task, job.lastAttempt, machine, 0);
            }
            maxPlaced = Math.max(maxPlaced, job.placements.size());
            for (int task : job.placements.keySet().toIntArray()) {
                if (endingTasks.equals("random") ? random.nextInt(4) != 0 : task % 2 == round % 2) {
                    continue;
                }
                job.placements.remove(task);
                job.doneTasks.set(task);
            }
            assertTrue(Json.length(JobRecordCodec.write(job, "999999.999999")) <= 8 * 1024);
            Job decoded = encodeAndDecode(job);
            assertEquals(job.doneTasks, decoded.doneTasks);
            assertEquals(job.placements.keySet(), decoded.placements.keySet());
            job.placements.forEach((task, placement) -> {
                Placement decodedPlacement = decoded.placements.get(task);
                assertEquals(
                        List.of(placement.machine, placement.zone, placement.session, placement.attempt),
                        List.of(
                                decodedPlacement.machine,
                                decodedPlacement.zone,
                                decodedPlacement.session,
                                decodedPlacement.attempt));
            });
            JobRecordCodec.TaskCounts counts = JobRecordCodec.taskCounts(JobRecordCodec.write(job, "7.1"));
            assertEquals(
                    List.of(job.doneTasks.cardinality(), job.placements.size()),
                    List.of(counts.done(), counts.placed()));
        }
        assertTrue(maxPlaced >= Math.min(tasks, 120), "most tasks placed at the same time: " + maxPlaced);
    }

    /**
     * Guards against an image index in a single record, which held the images of only about 60 to 250 machines, so
     * that the next leader did not have those of the others.
     */
    @ParameterizedTest(name = "{0} machines, {1} characters per shard: at most {2} shards")
    @CsvSource({"40, 1740, 1", "4000, 1740, 256", "4000, 6960, 64"})
    void imageIndexHasAsManyShardsAsNeeded(int machineCount, int maxChars, int maxShards) {
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < machineCount; i++) {
            Machine machine = new Machine(String.format("n-%06d", i), 0);
            machine.cachedImages.add("img-" + i % 12);
            machine.cachedImages.add("img-" + i % 7);
            machines.add(machine);
        }
        List<Map<String, Object>> shards = ImageIndexCodec.write(machines, maxChars);
        assertTrue(shards.size() <= maxShards, shards.size() + " shards");
        int listedMachines = 0;
        for (Map<String, Object> shard : shards) {
            assertTrue(Json.length(shard) <= maxChars);
            listedMachines += shard.size();
        }
        assertEquals(machineCount, listedMachines);
        machines.get(machineCount / 2).cachedImages.add("img-new");
        List<Map<String, Object>> laterShards = ImageIndexCodec.write(machines, maxChars);
        assertEquals(shards.size(), laterShards.size());
        int changedShards = 0;
        for (int i = 0; i < shards.size(); i++) {
            changedShards += shards.get(i).equals(laterShards.get(i)) ? 0 : 1;
        }
        assertEquals(1, changedShards, "a new image on one machine must change one shard only");
    }
}
