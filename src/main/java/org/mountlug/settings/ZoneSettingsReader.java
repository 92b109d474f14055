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
    private static final Set<String> KNOWN = Set.of(
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
    private static final Set<String> KNOWN_OF_RAMP = Set.of("start_share", "grow_share", "downloads_share");
    private static final double SHARE_LEAST = 0.01;
    private static final double TIME_LEAST_S = 0.1;
    private static final double TIME_MOST_S = 3600;
    private static final int MACHINES_MOST = 1_000_000;

    private ZoneSettingsReader() {}

    /** Reads the section; without one, zones are not tracked. */
    static ZoneSettings read(Object section) throws Settings.InvalidSettingException {
        if (section == null) {
            return ZoneSettings.disabled();
        }
        SettingsSection fields = SettingsSection.of(SECTION, section, KNOWN);
        ZoneThresholds defaults = ZoneThresholds.defaults();
        ZoneThresholds thresholds = new ZoneThresholds(
                fields.integer("least_machines", 1, MACHINES_MOST, defaults.minMachines()),
                fields.number("suspect_share", SHARE_LEAST, 1, defaults.suspectShare()),
                fields.number("lost_share", SHARE_LEAST, 1, defaults.lostShare()),
                fields.number("clear_share", 0, 1, defaults.clearShare()),
                fields.number("return_share", SHARE_LEAST, 1, defaults.returnShare()),
                fields.number("lost_after_s", TIME_LEAST_S, TIME_MOST_S, defaults.lostAfterS()),
                fields.number("return_after_s", TIME_LEAST_S, TIME_MOST_S, defaults.returnAfterS()),
                fields.number("return_after_most_s", TIME_LEAST_S, TIME_MOST_S, defaults.maxReturnAfterS()),
                fields.number("calm_s", TIME_LEAST_S, TIME_MOST_S, defaults.lossExpiryS()));
        checkOrder(thresholds);
        return new ZoneSettings(fields.bool("enabled", true), classes(fields), thresholds, ramp(fields.value("ramp")));
    }

    private static void checkOrder(ZoneThresholds thresholds) throws Settings.InvalidSettingException {
        if (thresholds.clearShare() >= thresholds.suspectShare()) {
            throw new Settings.InvalidSettingException("zones.clear_share", "must be below zones.suspect_share");
        }
        if (thresholds.suspectShare() >= thresholds.lostShare()) {
            throw new Settings.InvalidSettingException("zones.suspect_share", "must be below zones.lost_share");
        }
        if (thresholds.returnShare() <= 1 - thresholds.lostShare()) {
            throw new Settings.InvalidSettingException("zones.return_share", "must be above 1 less zones.lost_share");
        }
        if (thresholds.returnAfterS() > thresholds.maxReturnAfterS()) {
            throw new Settings.InvalidSettingException(
                    "zones.return_after_s", "must be at most zones.return_after_most_s");
        }
    }

    private static List<String> classes(SettingsSection fields) throws Settings.InvalidSettingException {
        Object value = fields.value("displacement");
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof List<?> list)) {
            throw fields.invalid("displacement", "must be a list of classes");
        }
        List<String> classes = new ArrayList<>();
        for (Object element : list) {
            if (!(element instanceof String name) || name.isBlank()) {
                throw fields.invalid("displacement", "must be a list of classes");
            }
            if (classes.contains(name)) {
                throw fields.invalid("displacement", name + " stands twice");
            }
            classes.add(name);
        }
        return classes;
    }

    private static RampSettings ramp(Object section) throws Settings.InvalidSettingException {
        RampSettings defaults = RampSettings.defaults();
        if (section == null) {
            return defaults;
        }
        SettingsSection fields = SettingsSection.of(RAMP, section, KNOWN_OF_RAMP);
        return new RampSettings(
                fields.number("start_share", SHARE_LEAST, 1, defaults.startShare()),
                fields.number("grow_share", SHARE_LEAST, 1, defaults.growShare()),
                fields.number("downloads_share", SHARE_LEAST, 1, defaults.downloadsShare()));
    }

    /** The section as it is in force, for operators to read. */
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
