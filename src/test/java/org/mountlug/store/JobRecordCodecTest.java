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

/** Records survive the trip to the state service, and the largest job's fits the value limit. */
class JobRecordCodecTest {
    private static Job trip(Job j) throws IOException {
        return JobRecordCodec.read(j.spec.id(), Cbor.readMap(Cbor.write(JobRecordCodec.write(j, "7.1"))), 9, 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 64, 1000})
    void progressSurvives(int tasks) throws IOException {
        Cluster c = Fixtures.cluster();
        Machine m = Fixtures.addMachine(c, "n-1", "small", "a");
        Job j = Fixtures.addJob(c, Fixtures.array("wk-000001", tasks));
        for (int t = 0; t < tasks; t++) {
            if (t % 3 != 1) {
                j.doneTasks.set(t);
            } else {
                c.place(j, t, ++j.lastAttempt, m, 0);
            }
        }
        j.failuresByTask.put(0, 4);
        Job k = trip(j);
        assertEquals(j.doneTasks, k.doneTasks);
        assertEquals(j.placements.keySet(), k.placements.keySet());
        assertEquals(j.lastAttempt, k.lastAttempt);
        assertEquals(4, k.failuresByTask.get(0));
        assertEquals(j.spec.request(), k.spec.request());
        k.placements.values().forEach(p -> assertEquals("a", p.zone));
        assertTrue(k.placements.values().stream().allMatch(p -> k.isDurable(p.task, p.version)));
    }

    /** However tasks are placed within the room and end again, and whatever the machines, no record passes its limit. */
    @ParameterizedTest(name = "{0} tasks, {1} to a machine, order of ends {2}")
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
    void theRoomOfARecordIsNeverPassed(int tasks, int each, String order) throws IOException {
        Random random = new Random(tasks + each);
        Cluster c = Fixtures.cluster();
        Job j = Fixtures.addJob(c, Fixtures.array("wk-000001", tasks));
        int most = 0;
        for (int round = 0; round < 60; round++) {
            int room = c.remainingRecordTasks(j);
            j.lastAttempt++;
            Machine m = null;
            for (int t = j.doneTasks.nextClearBit(0), k = 0; t < tasks && k < room; t++) {
                if (j.doneTasks.get(t) || j.placements.containsKey(t)) {
                    continue;
                }
                if (k++ % each == 0) {
                    m = new Machine(String.format("n-%06d", random.nextInt(1_000_000)), 0);
                    m.zone = k % 3 == 0 ? "a" : "b";
                    m.session = 1 + random.nextInt(30);
                }
                c.place(j, t, j.lastAttempt, m, 0);
            }
            most = Math.max(most, j.placements.size());
            for (int t : j.placements.keySet().toIntArray()) {
                if (order.equals("random") ? random.nextInt(4) != 0 : t % 2 == round % 2) {
                    continue;
                }
                j.placements.remove(t);
                j.doneTasks.set(t);
            }
            assertTrue(Json.length(JobRecordCodec.write(j, "999999.999999")) <= 8 * 1024);
            Job k = trip(j);
            assertEquals(j.doneTasks, k.doneTasks);
            assertEquals(j.placements.keySet(), k.placements.keySet());
            j.placements.forEach((t, p) -> {
                Placement q = k.placements.get(t);
                assertEquals(
                        List.of(p.machine, p.zone, p.session, p.attempt),
                        List.of(q.machine, q.zone, q.session, q.attempt));
            });
            JobRecordCodec.TaskCounts counts = JobRecordCodec.taskCounts(JobRecordCodec.write(j, "7.1"));
            assertEquals(
                    List.of(j.doneTasks.cardinality(), j.placements.size()), List.of(counts.done(), counts.placed()));
        }
        assertTrue(most >= Math.min(tasks, 120), "room for " + most);
    }

    /** One value held the images of some 60 to 250 machines, and the next leader knew nothing of the others'. */
    @ParameterizedTest(name = "{0} machines, {1} characters")
    @CsvSource({"40, 1740, 1", "4000, 1740, 256", "4000, 6960, 64"})
    void imagesOfAFleetTakeAsManyNotesAsTheyNeed(int count, int chars, int most) {
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Machine machine = new Machine(String.format("n-%06d", i), 0);
            machine.cachedImages.add("img-" + i % 12);
            machine.cachedImages.add("img-" + i % 7);
            machines.add(machine);
        }
        List<Map<String, Object>> notes = ImageIndexCodec.write(machines, chars);
        assertTrue(notes.size() <= most, notes.size() + " notes");
        int noted = 0;
        for (Map<String, Object> note : notes) {
            assertTrue(Json.length(note) <= chars);
            noted += note.size();
        }
        assertEquals(count, noted);
        machines.get(count / 2).cachedImages.add("img-new");
        List<Map<String, Object>> later = ImageIndexCodec.write(machines, chars);
        assertEquals(notes.size(), later.size());
        int changed = 0;
        for (int i = 0; i < notes.size(); i++) {
            changed += notes.get(i).equals(later.get(i)) ? 0 : 1;
        }
        assertEquals(1, changed, "a change is one write");
    }
}
