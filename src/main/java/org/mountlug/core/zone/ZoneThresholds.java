package org.mountlug.core.zone;

import org.mountlug.Constants;

/**
 * The thresholds at which a zone's state changes. Shares are of the machines that have come up in the zone.
 *
 * @param minMachines number of machines below which a zone is not judged
 * @param suspectShare share of silent machines above which a zone is suspect
 * @param lostShare share of silent machines from which the zone as a whole counts as silent
 * @param clearShare share of silent machines up to which a suspect zone is present again
 * @param returnShare share of reporting machines from which a lost zone counts as reporting
 * @param lostAfterS seconds for which a zone must be silent as a whole before it is lost
 * @param returnAfterS seconds for which a lost zone must be reporting before it returns, after its first loss
 * @param maxReturnAfterS upper bound in seconds of this time when repeated losses lengthen it
 * @param lossExpiryS seconds without a loss after which one earlier loss expires
 */
public record ZoneThresholds(
        int minMachines,
        double suspectShare,
        double lostShare,
        double clearShare,
        double returnShare,
        double lostAfterS,
        double returnAfterS,
        double maxReturnAfterS,
        double lossExpiryS) {
    /** Returns the values that apply without a setting. */
    public static ZoneThresholds defaults() {
        return new ZoneThresholds(
                Constants.Zones.MIN_MACHINES,
                Constants.Zones.SUSPECT_SHARE,
                Constants.Zones.LOST_SHARE,
                Constants.Zones.CLEAR_SHARE,
                Constants.Zones.RETURN_SHARE,
                Constants.Zones.LOST_AFTER_S,
                Constants.Zones.RETURN_AFTER_S,
                Constants.Zones.MAX_RETURN_AFTER_S,
                Constants.Zones.LOSS_EXPIRY_S);
    }
}
