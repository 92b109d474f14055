package org.mountlug.settings;

import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.admit.AdmissionSettings;
import org.mountlug.wire.Fields;

/** Reads and checks the operators' {@code admission} section. */
final class AdmissionSettingsReader {
    private static final String SECTION = "admission";
    private static final String ENABLED = "enabled";
    private static final String STALE_VIEW_S = "stale_view_s";

    private AdmissionSettingsReader() {}

    /** Reads the section, which may be null; without it only each controller's rate limit applies to submissions. */
    static AdmissionSettings read(Object section) throws Settings.InvalidSettingException {
        if (section == null) {
            return AdmissionSettings.disabled();
        }
        SettingsSection fields = SettingsSection.of(SECTION, section, Set.of(ENABLED, STALE_VIEW_S));
        return new AdmissionSettings(
                fields.bool(ENABLED, true),
                fields.number(
                        STALE_VIEW_S,
                        Constants.Admission.MIN_STALE_VIEW_S,
                        Constants.Admission.MAX_STALE_VIEW_S,
                        Constants.Admission.STALE_VIEW_S));
    }

    /** Returns the effective values of the section by field, for operators to read. */
    static Map<String, Object> effectiveValues(AdmissionSettings admission) {
        return Fields.orderedMap(ENABLED, admission.enabled(), STALE_VIEW_S, admission.staleViewS());
    }
}
