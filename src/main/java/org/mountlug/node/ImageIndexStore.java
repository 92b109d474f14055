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
 * Stores in the state service which machine has which images; without this image index, images would be fetched again after
 * each change of leader. An index that does not fit into one value is stored in several shards, of which a few are written at
 * a time.
 */
final class ImageIndexStore {
    private final LeaderTerm term;
    private final TokenBucket writeRateLimit;
    /** By key, the shards as the state service holds them. */
    private final Map<String, Map<String, Object>> storedShards = new HashMap<>();

    private double nextWriteS;
    /** Number of the shard at which the next search for changed shards begins. */
    private int nextShardNumber;

    ImageIndexStore(LeaderTerm term, TokenBucket writeRateLimit) {
        this.term = term;
        this.writeRateLimit = writeRateLimit;
        loadShards(null);
    }

    /** Reads the shards other than the first, page by page. Rounds do not wait for them. */
    private void loadShards(String after) {
        term.environment.state().list(StateKeys.IMAGE_INDEX_SHARDS, after, response -> {
            if (term.hasEnded() || response.status() != 200) {
                return;
            }
            String lastKey = null;
            for (Object element : Fields.getList(response.body(), "rows")) {
                Map<String, Object> row = Fields.asMap(element);
                lastKey = Fields.getString(row, "k");
                restore(lastKey, Fields.asMap(row.get("v")));
            }
            if (Fields.getBoolean(response.body(), "hasNext") && lastKey != null) {
                loadShards(lastKey);
            }
        });
    }

    /** Takes over a shard that the previous leader stored, as lists of images by machine name. */
    void restore(String key, Map<String, Object> imagesByMachine) {
        storedShards.put(key, imagesByMachine);
        for (Map.Entry<String, Object> entry : imagesByMachine.entrySet()) {
            if (entry.getValue() instanceof List<?> images) {
                term.cluster.setExpectedImages(
                        entry.getKey(), images.stream().map(String::valueOf).toList());
            }
        }
    }

    /** Writes a few changed shards if the interval has passed. */
    void tick(double nowS) {
        if (nowS < nextWriteS) {
            return;
        }
        nextWriteS = nowS + Constants.IMAGE_INDEX_INTERVAL_MS / 1000.0;
        List<Map<String, Object>> shards = ImageIndexCodec.write(term.cluster.machines.values(), term.maxValueChars());
        int written = 0;
        for (int i = 0; i < shards.size() && written < Constants.IMAGE_INDEX_WRITES_PER_INTERVAL; i++) {
            int shardNumber = (nextShardNumber + i) % shards.size();
            String key = StateKeys.imageIndexShard(shardNumber);
            boolean unchanged = shards.get(shardNumber).equals(storedShards.getOrDefault(key, Map.of()));
            if (unchanged || !term.isLeaseHeld(nowS) || !writeRateLimit.tryAcquire(nowS, 1)) {
                continue;
            }
            written++;
            write(key, shards.get(shardNumber));
        }
        nextShardNumber = (nextShardNumber + Constants.IMAGE_INDEX_WRITES_PER_INTERVAL) % shards.size();
    }

    private void write(String key, Map<String, Object> shard) {
        term.environment.state().commit(term.newFencedTransaction().put(key, shard), response -> {
            if (response.status() == 200) {
                storedShards.put(key, shard);
            }
        });
    }
}
