package org.mountlug.core.zone;

/**
 * What the next leader needs to go on with a zone where this one stops. Times are ages in seconds, as steady clocks of two
 * machines have nothing in common.
 *
 * @param recentLosses recent losses that have not been forgotten
 * @param stateAgeS since when it is in this state
 * @param absentAgeS since when it has not been present
 * @param lossAgeS since when it was last lost, or since when a loss was last forgotten
 * @param maxSilentMachines the most machines that were silent in this trouble
 * @param window starts that its ramp admits, 0 without a ramp
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
