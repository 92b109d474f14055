package org.mountlug.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.cluster.Machine;

/**
 * Encodes the image index, which lists the images of each machine, as shards within the state service's limit on the
 * size of a value.
 */
public final class ImageIndexCodec {
    /** Images listed for one machine; the latest ones are kept. */
    private static final int MAX_IMAGES_PER_MACHINE = 8;

    private ImageIndexCodec() {}

    /**
     * Returns the shards of the image index, as many as the machines need. A machine stays in the same shard while the
     * number of shards stays the same, so that a change is one write. The index only helps to place tasks, so a
     * machine that does not fit into its shard is left out.
     */
    public static List<Map<String, Object>> write(Collection<Machine> machines, int maxChars) {
        Map<Machine, List<String>> imagesByMachine = new LinkedHashMap<>();
        long totalChars = 0;
        for (Machine machine : machines) {
            if (!machine.cachedImages.isEmpty()) {
                List<String> latest = latestImages(machine);
                imagesByMachine.put(machine, latest);
                totalChars += entryChars(machine, latest);
            }
        }
        int shardCount = 1;
        // Shards are half full on average, as machine names are distributed over them by hash.
        while (totalChars > maxChars && (long) shardCount * maxChars < 2 * totalChars) {
            shardCount *= 2;
        }
        List<Map<String, Object>> shards = new ArrayList<>();
        int[] shardChars = new int[shardCount];
        for (int i = 0; i < shardCount; i++) {
            shards.add(new LinkedHashMap<>());
        }
        imagesByMachine.forEach((machine, latest) -> {
            int shard = Math.floorMod(machine.name.hashCode(), shards.size());
            shardChars[shard] += entryChars(machine, latest);
            if (shardChars[shard] <= maxChars) {
                shards.get(shard).put(machine.name, latest);
            }
        });
        return shards;
    }

    private static List<String> latestImages(Machine machine) {
        List<String> images = new ArrayList<>(machine.cachedImages);
        return images.subList(Math.max(0, images.size() - MAX_IMAGES_PER_MACHINE), images.size());
    }

    /** Returns the characters of a machine's entry, including punctuation. */
    private static int entryChars(Machine machine, List<String> images) {
        int chars = machine.name.length() + 6;
        for (String image : images) {
            chars += image.length() + 3;
        }
        return chars;
    }
}
