package org.mountlug.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.core.zone.RampSettings;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.core.zone.ZoneThresholds;
import org.mountlug.wire.Fields;

/** Reads and checks the operators' {@code zones} section, field by field. */
final class ZoneSettingsReader {
    private static final String SECTION = "zones";
    private static final String RAMP = "zones.ramp";
    private static final Set<String> KNOWN_FIELDS = Set.of(
            "enabled",
            "displacement",
            "least_machines",
            "suspect_share",
            "lost_share",
            "clear_share",
            "return_share",
            "lost_after_s",
            "return_after_s",
            "return_after_most_s",
            "calm_s",
            "ramp");
    private static final Set<String> KNOWN_RAMP_FIELDS = Set.of("start_share", "grow_share", "downloads_share");
    private static final double MIN_SHARE = 0.01;
    private static final double MIN_TIME_S = 0.1;
    private static final double MAX_TIME_S = 3600;
    private static final int MAX_MACHINES = 1_000_000;

    private ZoneSettingsReader() {}

    /** Reads the section, which may be null; without it zones are not tracked. */
    static ZoneSettings read(Object section) throws Settings.InvalidSettingException {
        if (section == null) {
            return ZoneSettings.disabled();
        }
        SettingsSection fields = SettingsSection.of(SECTION, section, KNOWN_FIELDS);
        ZoneThresholds defaults = ZoneThresholds.defaults();
        ZoneThresholds thresholds = new ZoneThresholds(
                fields.integer("least_machines", 1, MAX_MACHINES, defaults.minMachines()),
                fields.number("suspect_share", MIN_SHARE, 1, defaults.suspectShare()),
                fields.number("lost_share", MIN_SHARE, 1, defaults.lostShare()),
                fields.number("clear_share", 0, 1, defaults.clearShare()),
                fields.number("return_share", MIN_SHARE, 1, defaults.returnShare()),
                fields.number("lost_after_s", MIN_TIME_S, MAX_TIME_S, defaults.lostAfterS()),
                fields.number("return_after_s", MIN_TIME_S, MAX_TIME_S, defaults.returnAfterS()),
                fields.number("return_after_most_s", MIN_TIME_S, MAX_TIME_S, defaults.maxReturnAfterS()),
                fields.number("calm_s", MIN_TIME_S, MAX_TIME_S, defaults.lossExpiryS()));
        checkThresholdOrder(thresholds);
        return new ZoneSettings(
                fields.bool("enabled", true),
                readDisplacementClasses(fields),
                thresholds,
                readRamp(fields.value("ramp")));
    }

    private static void checkThresholdOrder(ZoneThresholds thresholds) throws Settings.InvalidSettingException {
        if (thresholds.clearShare() >= thresholds.suspectShare()) {
            throw new Settings.InvalidSettingException(
                    "zones.clear_share", "must be below zones.suspect_share, which is " + thresholds.suspectShare());
        }
        if (thresholds.suspectShare() >= thresholds.lostShare()) {
            throw new Settings.InvalidSettingException(
                    "zones.suspect_share", "must be below zones.lost_share, which is " + thresholds.lostShare());
        }
        if (thresholds.returnShare() <= 1 - thresholds.lostShare()) {
            throw new Settings.InvalidSettingException(
                    "zones.return_share",
                    "must be above 1 - zones.lost_share, where zones.lost_share is " + thresholds.lostShare());
        }
        if (thresholds.returnAfterS() > thresholds.maxReturnAfterS()) {
            throw new Settings.InvalidSettingException(
                    "zones.return_after_s",
                    "must be at most zones.return_after_most_s, which is " + thresholds.maxReturnAfterS());
        }
    }

    private static List<String> readDisplacementClasses(SettingsSection fields)
            throws Settings.InvalidSettingException {
        Object value = fields.value("displacement");
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof List<?> list)) {
            throw fields.invalid("displacement", "must be a list of job classes");
        }
        List<String> classes = new ArrayList<>();
        for (Object element : list) {
            if (!(element instanceof String name) || name.isBlank()) {
                throw fields.invalid("displacement", "must be a list of job classes");
            }
            if (classes.contains(name)) {
                throw fields.invalid("displacement", name + " is listed twice");
            }
            classes.add(name);
        }
        return classes;
    }

    private static RampSettings readRamp(Object section) throws Settings.InvalidSettingException {
        RampSettings defaults = RampSettings.defaults();
        if (section == null) {
            return defaults;
        }
        SettingsSection fields = SettingsSection.of(RAMP, section, KNOWN_RAMP_FIELDS);
        return new RampSettings(
                fields.number("start_share", MIN_SHARE, 1, defaults.startShare()),
                fields.number("grow_share", MIN_SHARE, 1, defaults.growShare()),
                fields.number("downloads_share", MIN_SHARE, 1, defaults.downloadsShare()));
    }

    /** Returns the effective values of the section by field, for operators to read. */
    static Map<String, Object> effectiveValues(ZoneSettings zones) {
        return Fields.orderedMap(
                "enabled", zones.enabled(),
                "displacement", zones.displacementClasses(),
                "least_machines", zones.thresholds().minMachines(),
                "suspect_share", zones.thresholds().suspectShare(),
                "lost_share", zones.thresholds().lostShare(),
                "clear_share", zones.thresholds().clearShare(),
                "return_share", zones.thresholds().returnShare(),
                "lost_after_s", zones.thresholds().lostAfterS(),
                "return_after_s", zones.thresholds().returnAfterS(),
                "return_after_most_s", zones.thresholds().maxReturnAfterS(),
                "calm_s", zones.thresholds().lossExpiryS(),
                "ramp.start_share", zones.ramp().startShare(),
                "ramp.grow_share", zones.ramp().growShare(),
                "ramp.downloads_share", zones.ramp().downloadsShare());
    }
}
