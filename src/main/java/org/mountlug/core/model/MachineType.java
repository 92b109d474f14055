package org.mountlug.core.model;

import java.util.List;

/**
 * A machine type that the cloud offers, with its current prices.
 *
 * @param imageCacheGb size of the image cache of a machine, in gigabytes
 * @param fetchGbPerS rate at which a machine fetches images, in gigabytes a second
 * @param bootS nominal boot time in seconds
 * @param zones names of the zones that offer the type
 */
public record MachineType(
        String name,
        Resources capacity,
        double imageCacheGb,
        double fetchGbPerS,
        double onDemandPricePerHour,
        double spotPricePerHour,
        double bootS,
        List<String> zones) {
    /** Returns the current price per hour of a spot machine or of an on-demand machine. */
    public double pricePerHour(boolean spot) {
        return spot ? spotPricePerHour : onDemandPricePerHour;
    }
}
