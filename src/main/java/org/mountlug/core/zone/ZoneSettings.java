package org.mountlug.core.zone;

import java.util.List;

/**
 * Operator settings for the handling of lost zones.
 *
 * @param enabled whether zone states are tracked; if not, only the number of machines that are silent at the moment counts
 * @param displacementClasses job classes that precede all others while a zone is not present, the first one first
 * @param thresholds when a zone's state changes
 * @param ramp how fast a returning zone gets work
 */
public record ZoneSettings(
        boolean enabled, List<String> displacementClasses, ZoneThresholds thresholds, RampSettings ramp) {
    /** Returns settings with zones not tracked. */
    public static ZoneSettings disabled() {
        return new ZoneSettings(false, List.of(), ZoneThresholds.defaults(), RampSettings.defaults());
    }

    /** Returns settings with zones tracked and the default values. */
    public static ZoneSettings defaults() {
        return new ZoneSettings(true, List.of(), ZoneThresholds.defaults(), RampSettings.defaults());
    }
}
