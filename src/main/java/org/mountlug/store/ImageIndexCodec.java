package org.mountlug.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.cluster.Machine;

/** Notes of which machine has which image, by machine, each within the value limit. */
public final class ImageIndexCodec {
    /** Images told of one machine, the latest. */
    private static final int MOST_A_MACHINE = 8;

    private ImageIndexCodec() {}

    /**
     * Which machines should have which images, a help for placing: in as many notes as the fleet needs, each machine always
     * in the same one, so that a change is one write.
     */
    public static List<Map<String, Object>> write(Collection<Machine> machines, int mostChars) {
        Map<Machine, List<String>> images = new LinkedHashMap<>();
        long chars = 0;
        for (Machine machine : machines) {
            if (!machine.cachedImages.isEmpty()) {
                List<String> latest = latestImages(machine);
                images.put(machine, latest);
                chars += imageChars(machine, latest);
            }
        }
        int count = 1;
        // Half full in the mean, as names fall into notes by chance.
        while (chars > mostChars && (long) count * mostChars < 2 * chars) {
            count *= 2;
        }
        List<Map<String, Object>> notes = new ArrayList<>();
        int[] size = new int[count];
        for (int i = 0; i < count; i++) {
            notes.add(new LinkedHashMap<>());
        }
        images.forEach((machine, latest) -> {
            int note = Math.floorMod(machine.name.hashCode(), notes.size());
            size[note] += imageChars(machine, latest);
            if (size[note] <= mostChars) {
                notes.get(note).put(machine.name, latest);
            }
        });
        return notes;
    }

    private static List<String> latestImages(Machine machine) {
        List<String> images = new ArrayList<>(machine.cachedImages);
        return images.subList(Math.max(0, images.size() - MOST_A_MACHINE), images.size());
    }

    /** Characters of a machine's entry with its signs. */
    private static int imageChars(Machine machine, List<String> images) {
        int chars = machine.name.length() + 6;
        for (String image : images) {
            chars += image.length() + 3;
        }
        return chars;
    }
}
