package org.mountlug.core.zone;

/**
 * The status of a zone, for operators.
 *
 * @param recentLosses losses of the zone that have not expired
 * @param window number of starts that the zone's ramp admits at a time, 0 without a ramp
 */
public record ZoneStatus(String zone, ZoneState state, ZoneCounts counts, int recentLosses, double window) {}
