package org.mountlug.core.model;

import java.util.List;

/** An entry of the cloud's catalogue. */
public record MachineType(
        String name,
        Resources size,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {
    /** The current price an hour, of a spot machine or an ordinary one. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }
}
