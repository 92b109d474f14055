package org.mountlug.core.admit;

import org.mountlug.Constants;

/**
 * What operators set of admission.
 *
 * @param enabled whether submissions are admitted by teams' shares; otherwise by each controller's request budget alone
 * @param staleViewS seconds without a confirmation of the published table after which a controller decides nothing
 */
public record AdmissionSettings(boolean enabled, double staleViewS) {
    /** The settings without a section. */
    public static AdmissionSettings disabled() {
        return new AdmissionSettings(false, Constants.Admission.STALE_VIEW_S);
    }

    /** The settings of a section that only switches admission on. */
    public static AdmissionSettings defaults() {
        return new AdmissionSettings(true, Constants.Admission.STALE_VIEW_S);
    }
}
