package org.mountlug.core.allocate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Resources;

/**
 * Resource requests that fitted on no machine in this round. Free capacity only shrinks while tasks are placed, so a request
 * at least as large under the same placement rules does not fit either. This saves scanning all machines for each of many
 * small jobs.
 */
final class UnplaceableRequests {
    private record PlacementRules(List<String> types, String zone, boolean spot, boolean cpuOnly, boolean overflowing) {
        static PlacementRules of(JobSpec spec, boolean overflowing) {
            return new PlacementRules(
                    spec.machineTypes(),
                    spec.zone(),
                    spec.spotAllowed(),
                    spec.request().gpus() == 0,
                    overflowing);
        }
    }

    private final Map<PlacementRules, List<Resources>> requestsByRules = new HashMap<>();

    /** Whether a task of this job is known to fit on no machine. */
    boolean includes(JobSpec spec, boolean overflowing) {
        for (Resources unplaceable : requestsByRules.getOrDefault(PlacementRules.of(spec, overflowing), List.of())) {
            if (unplaceable.fitsIn(spec.request())) {
                return true;
            }
        }
        return false;
    }

    /** Records that a task of this job fits on no machine. */
    void add(JobSpec spec, boolean overflowing) {
        List<Resources> requests =
                requestsByRules.computeIfAbsent(PlacementRules.of(spec, overflowing), rules -> new ArrayList<>());
        requests.removeIf(other -> spec.request().fitsIn(other));
        requests.add(spec.request());
    }

    /** Forgets all requests, as capacity may have been released. */
    void clear() {
        requestsByRules.clear();
    }
}
