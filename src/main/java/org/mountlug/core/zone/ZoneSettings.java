package org.mountlug.core.zone;

import java.util.List;

/**
 * The operators' settings of how lost zones are handled.
 *
 * @param enabled whether zones are tracked; if not, a zone is judged by its silence of the moment alone
 * @param displacementClasses job classes that displaced work is placed by, the first one first, ahead of all others
 */
public record ZoneSettings(
        boolean enabled, List<String> displacementClasses, ZoneThresholds thresholds, RampSettings ramp) {
    /** Zones are not tracked. */
    public static ZoneSettings disabled() {
        return new ZoneSettings(false, List.of(), ZoneThresholds.defaults(), RampSettings.defaults());
    }

    /** Zones are tracked, with the default values. */
    public static ZoneSettings defaults() {
        return new ZoneSettings(true, List.of(), ZoneThresholds.defaults(), RampSettings.defaults());
    }
}
