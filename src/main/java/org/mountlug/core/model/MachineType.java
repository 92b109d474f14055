package org.mountlug.core.model;

import java.util.List;

/** An entry of the cloud's catalogue. */
public record MachineType(
        String name,
        Resources capacity,
        double imageCacheGb,
        double fetchGbPerS,
        double onDemandPricePerHour,
        double spotPricePerHour,
        double bootS,
        List<String> zones) {
    /** The current price an hour, of a spot machine or an ordinary one. */
    public double pricePerHour(boolean spot) {
        return spot ? spotPricePerHour : onDemandPricePerHour;
    }
}
