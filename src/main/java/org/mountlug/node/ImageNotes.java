package org.mountlug.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.store.Budget;
import org.mountlug.store.ImageCodec;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;

/**
 * Notes of which machine has which image, kept in the state service: without them every change of leader costs fetches. A
 * fleet whose notes do not fit into one value has several, of which a few are written at a time.
 */
final class ImageNotes {
    private final LeaderTerm term;
    private final Budget writes;
    /** By key, the note as it is stored. */
    private final Map<String, Map<String, Object>> stored = new HashMap<>();

    private double nextS;
    /** Where the next turn begins to look for notes to write. */
    private int nextNote;

    ImageNotes(LeaderTerm term, Budget writes) {
        this.term = term;
        this.writes = writes;
        loadMore(null);
    }

    /** Reads the notes beyond the first one, beside the records: rounds do not wait for them. */
    private void loadMore(String after) {
        term.environment.state().list(StateKeys.MORE_IMAGES, after, answer -> {
            if (term.ended() || answer.status() != 200) {
                return;
            }
            String last = null;
            for (Object element : Fields.list(answer.body(), "rows")) {
                Map<String, Object> row = Fields.map(element);
                last = Fields.str(row, "k");
                loaded(last, Fields.map(row.get("v")));
            }
            if (Fields.bool(answer.body(), "hasNext") && last != null) {
                loadMore(last);
            }
        });
    }

    /** Takes in a note as the last leader left it. */
    void loaded(String key, Map<String, Object> imagesByMachine) {
        stored.put(key, imagesByMachine);
        for (Map.Entry<String, Object> entry : imagesByMachine.entrySet()) {
            if (entry.getValue() instanceof List<?> images) {
                term.cluster.expectImages(
                        entry.getKey(), images.stream().map(String::valueOf).toList());
            }
        }
    }

    /** Writes what has changed, if it is time. */
    void tick(double nowS) {
        if (nowS < nextS) {
            return;
        }
        nextS = nowS + Constants.IMAGES_MS / 1000.0;
        List<Map<String, Object>> notes = ImageCodec.notes(term.cluster.machines.values(), term.valueChars());
        int written = 0;
        for (int i = 0; i < notes.size() && written < Constants.IMAGE_NOTES_A_TURN; i++) {
            int note = (nextNote + i) % notes.size();
            String key = StateKeys.images(note);
            boolean same = notes.get(note).equals(stored.getOrDefault(key, Map.of()));
            if (same || !term.proven(nowS) || !writes.take(nowS, 1)) {
                continue;
            }
            written++;
            write(key, notes.get(note));
        }
        nextNote = (nextNote + Constants.IMAGE_NOTES_A_TURN) % notes.size();
    }

    private void write(String key, Map<String, Object> note) {
        term.environment.state().commit(term.change().put(key, note), answer -> {
            if (answer.status() == 200) {
                stored.put(key, note);
            }
        });
    }
}
