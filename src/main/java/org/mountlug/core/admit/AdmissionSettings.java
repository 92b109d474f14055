package org.mountlug.core.admit;

import org.mountlug.Constants;

/**
 * The operators' settings for admission.
 *
 * @param enabled whether submissions are admitted by team weights; if not, only each controller's rate limit applies
 * @param staleViewS seconds without a confirmation of the published table after which a controller decides nothing
 */
public record AdmissionSettings(boolean enabled, double staleViewS) {
    /** Returns the settings that apply without an {@code admission} section. */
    public static AdmissionSettings disabled() {
        return new AdmissionSettings(false, Constants.Admission.STALE_VIEW_S);
    }

    /** Returns the default settings of an {@code admission} section, which enable admission. */
    public static AdmissionSettings defaults() {
        return new AdmissionSettings(true, Constants.Admission.STALE_VIEW_S);
    }
}
