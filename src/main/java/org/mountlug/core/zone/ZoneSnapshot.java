package org.mountlug.core.zone;

/**
 * The stored state of a zone, from which the next leader continues. Times are ages in seconds, because the monotonic clocks of
 * two hosts cannot be compared.
 *
 * @param recentLosses losses of the zone that have not expired
 * @param stateAgeS seconds since the zone entered its state
 * @param absentAgeS seconds since the zone ceased to be present, 0 while it is present
 * @param lossAgeS seconds since the last loss, or since an earlier loss expired if that was later
 * @param maxSilentMachines the highest number of silent machines since the zone ceased to be present
 * @param window number of starts that the zone's ramp admits, 0 without a ramp
 */
public record ZoneSnapshot(
        String zone,
        ZoneState state,
        int recentLosses,
        double stateAgeS,
        double absentAgeS,
        double lossAgeS,
        int maxSilentMachines,
        double window) {}
