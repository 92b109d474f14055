package org.mountlug.core.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Resources;

/**
 * Demand that the machines that are up could not take during a rental decision. Their free capacity only shrinks during the
 * decision, so demand that requests at least as much for at least as long, and may not wait longer, cannot be taken either.
 */
final class UnplaceableDemand {
    private record PlacementRules(List<String> types, String zone, boolean spot, boolean gang, boolean cpuOnly) {
        static PlacementRules of(JobSpec spec, boolean cpuOnly) {
            return new PlacementRules(spec.machineTypes(), spec.zone(), spec.spotAllowed(), spec.isGang(), cpuOnly);
        }
    }

    private record Demand(Resources request, double expectedRunS, double horizonS) {
        /** Whether the other demand requests at least as much, runs at least as long and may not wait longer. */
        boolean isNoHarderThan(Demand other) {
            return request.fitsIn(other.request) && expectedRunS <= other.expectedRunS && horizonS >= other.horizonS;
        }
    }

    private final Map<PlacementRules, List<Demand>> unplaceable = new HashMap<>();

    /** Whether demand already recorded implies that none of these tasks can be taken. */
    boolean covers(JobSpec spec, double expectedRunS, double horizonS, boolean cpuOnly) {
        Demand demand = new Demand(spec.request(), expectedRunS, horizonS);
        for (Demand known : unplaceable.getOrDefault(PlacementRules.of(spec, cpuOnly), List.of())) {
            if (known.isNoHarderThan(demand)) {
                return true;
            }
        }
        return false;
    }

    /** Records that none of these tasks could be taken. */
    void add(JobSpec spec, double expectedRunS, double horizonS, boolean cpuOnly) {
        Demand demand = new Demand(spec.request(), expectedRunS, horizonS);
        List<Demand> demands =
                unplaceable.computeIfAbsent(PlacementRules.of(spec, cpuOnly), rules -> new ArrayList<>());
        demands.removeIf(demand::isNoHarderThan);
        demands.add(demand);
    }
}
