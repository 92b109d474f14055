package org.mountlug.core.allocate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Resources;

/**
 * Needs for which no machine had room in a round. Room only shrinks while tasks are placed, so whatever needs as much under
 * the same rules of place finds none either, and a swarm of small jobs does not look at every machine for each of them.
 */
final class UnplaceableRequests {
    private record Rules(List<String> types, String zone, boolean spot, boolean plain, boolean overflowing) {
        static Rules of(JobSpec spec, boolean overflowing) {
            return new Rules(
                    spec.machineTypes(),
                    spec.zone(),
                    spec.spotAllowed(),
                    spec.request().gpus() == 0,
                    overflowing);
        }
    }

    private final Map<Rules, List<Resources>> refused = new HashMap<>();

    /** Whether it is known already that a task of this job finds no room. */
    boolean includes(JobSpec spec, boolean overflowing) {
        for (Resources less : refused.getOrDefault(Rules.of(spec, overflowing), List.of())) {
            if (less.fitsIn(spec.request())) {
                return true;
            }
        }
        return false;
    }

    /** A task of this job has found no room. */
    void add(JobSpec spec, boolean overflowing) {
        List<Resources> known = refused.computeIfAbsent(Rules.of(spec, overflowing), rules -> new ArrayList<>());
        known.removeIf(more -> spec.request().fitsIn(more));
        known.add(spec.request());
    }

    /** Room may have been given back. */
    void clear() {
        refused.clear();
    }
}
