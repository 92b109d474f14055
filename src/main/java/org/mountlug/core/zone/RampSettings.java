package org.mountlug.core.zone;

import org.mountlug.Constants;

/**
 * The pace of a return. Shares are of the machines heard in the zone.
 *
 * @param startShare starts under way that a zone is admitted at first
 * @param growShare by how much that grows each second in which nothing fails
 * @param downloadsShare image downloads that may be under way at the same time
 */
public record RampSettings(double startShare, double growShare, double downloadsShare) {
    /** The values in force without a setting. */
    public static RampSettings defaults() {
        return new RampSettings(
                Constants.Zones.RAMP_START_SHARE, Constants.Zones.RAMP_GROW_SHARE, Constants.Zones.DOWNLOADS_SHARE);
    }

    /** This share of the machines, one at the least. */
    static int atLeastOne(double share, int machines) {
        return Math.max(1, (int) Math.ceil(share * machines));
    }
}
