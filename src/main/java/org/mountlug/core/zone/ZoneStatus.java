package org.mountlug.core.zone;

/** A zone as operators see it; {@code window} is the starts that its ramp admits at a time, 0 without a ramp. */
public record ZoneStatus(String zone, ZoneState state, ZoneCounts counts, int recentLosses, double window) {}
