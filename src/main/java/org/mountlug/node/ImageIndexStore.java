package org.mountlug.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.store.ImageIndexCodec;
import org.mountlug.store.StateKeys;
import org.mountlug.store.TokenBucket;
import org.mountlug.wire.Fields;

/**
 * Notes of which machine has which image, kept in the state service: without them every change of leader costs fetches. A
 * fleet whose notes do not fit into one value has several, of which a few are written at a time.
 */
final class ImageIndexStore {
    private final LeaderTerm term;
    private final TokenBucket writes;
    /** By key, the note as it is stored. */
    private final Map<String, Map<String, Object>> stored = new HashMap<>();

    private double nextS;
    /** Where the next turn begins to look for notes to write. */
    private int nextNote;

    ImageIndexStore(LeaderTerm term, TokenBucket writes) {
        this.term = term;
        this.writes = writes;
        loadMore(null);
    }

    /** Reads the notes beyond the first one, beside the records: rounds do not wait for them. */
    private void loadMore(String after) {
        term.environment.state().list(StateKeys.IMAGE_INDEX_SHARDS, after, answer -> {
            if (term.hasEnded() || answer.status() != 200) {
                return;
            }
            String last = null;
            for (Object element : Fields.getList(answer.body(), "rows")) {
                Map<String, Object> row = Fields.asMap(element);
                last = Fields.getString(row, "k");
                restore(last, Fields.asMap(row.get("v")));
            }
            if (Fields.getBoolean(answer.body(), "hasNext") && last != null) {
                loadMore(last);
            }
        });
    }

    /** Takes in a note as the last leader left it. */
    void restore(String key, Map<String, Object> imagesByMachine) {
        stored.put(key, imagesByMachine);
        for (Map.Entry<String, Object> entry : imagesByMachine.entrySet()) {
            if (entry.getValue() instanceof List<?> images) {
                term.cluster.setExpectedImages(
                        entry.getKey(), images.stream().map(String::valueOf).toList());
            }
        }
    }

    /** Writes what has changed, if it is time. */
    void tick(double nowS) {
        if (nowS < nextS) {
            return;
        }
        nextS = nowS + Constants.IMAGE_INDEX_INTERVAL_MS / 1000.0;
        List<Map<String, Object>> notes = ImageIndexCodec.write(term.cluster.machines.values(), term.maxValueChars());
        int written = 0;
        for (int i = 0; i < notes.size() && written < Constants.IMAGE_INDEX_WRITES_PER_INTERVAL; i++) {
            int note = (nextNote + i) % notes.size();
            String key = StateKeys.imageIndexShard(note);
            boolean same = notes.get(note).equals(stored.getOrDefault(key, Map.of()));
            if (same || !term.isLeaseHeld(nowS) || !writes.tryAcquire(nowS, 1)) {
                continue;
            }
            written++;
            write(key, notes.get(note));
        }
        nextNote = (nextNote + Constants.IMAGE_INDEX_WRITES_PER_INTERVAL) % notes.size();
    }

    private void write(String key, Map<String, Object> note) {
        term.environment.state().commit(term.newFencedTransaction().put(key, note), answer -> {
            if (answer.status() == 200) {
                stored.put(key, note);
            }
        });
    }
}
