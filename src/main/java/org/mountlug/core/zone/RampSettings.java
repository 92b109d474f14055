package org.mountlug.core.zone;

import org.mountlug.Constants;

/**
 * How fast a returning zone gets work. All values are shares of the number of reporting machines in the zone.
 *
 * @param startShare initial limit on starts in progress
 * @param growShare growth of this limit in each second without failures
 * @param downloadsShare limit on image downloads in progress
 */
public record RampSettings(double startShare, double growShare, double downloadsShare) {
    /** Returns the values that apply without a setting. */
    public static RampSettings defaults() {
        return new RampSettings(
                Constants.Zones.RAMP_START_SHARE, Constants.Zones.RAMP_GROW_SHARE, Constants.Zones.IMAGE_FETCH_SHARE);
    }

    /** Returns this share of the machines, rounded up and at least 1. */
    static int atLeastOne(double share, int machines) {
        return Math.max(1, (int) Math.ceil(share * machines));
    }
}
