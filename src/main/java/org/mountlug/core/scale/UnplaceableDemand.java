package org.mountlug.core.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Resources;

/**
 * Demand that the machines that are up could not take while queued work was laid over them. They only fill up, so demand
 * that needs as much room for as long, and may wait no longer, cannot be taken either.
 */
final class UnplaceableDemand {
    private record Rules(List<String> types, String zone, boolean spot, boolean gang, boolean cpuOnly) {
        static Rules of(JobSpec spec, boolean plainOnly) {
            return new Rules(spec.machineTypes(), spec.zone(), spec.spotAllowed(), spec.isGang(), plainOnly);
        }
    }

    private record Demand(Resources need, double expectedS, double horizonS) {
        /** Whether the other one asks for as much or more. */
        boolean within(Demand other) {
            return need.fitsIn(other.need) && expectedS <= other.expectedS && horizonS >= other.horizonS;
        }
    }

    private final Map<Rules, List<Demand>> refused = new HashMap<>();

    /** Whether it is known already that none of it can be taken. */
    boolean covers(JobSpec spec, double expectedS, double horizonS, boolean cpuOnly) {
        Demand demand = new Demand(spec.request(), expectedS, horizonS);
        for (Demand less : refused.getOrDefault(Rules.of(spec, cpuOnly), List.of())) {
            if (less.within(demand)) {
                return true;
            }
        }
        return false;
    }

    /** None of it could be taken. */
    void add(JobSpec spec, double expectedS, double horizonS, boolean cpuOnly) {
        Demand demand = new Demand(spec.request(), expectedS, horizonS);
        List<Demand> known = refused.computeIfAbsent(Rules.of(spec, cpuOnly), rules -> new ArrayList<>());
        known.removeIf(demand::within);
        known.add(demand);
    }
}
