package org.mountlug.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.admit.AdmissionSettings;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.wire.Fields;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/**
 * The operators' own settings, in YAML beside the platform's file. Unlike there, an unknown field is an error: it is
 * a person's typing mistake, not a newer platform. {@code operators.schema.json} describes the same file for editors.
 */
public record OperatorSettings(
        Map<String, Double> teamWeights,
        boolean logTimestamps,
        double idleKeepS,
        double spotRisk,
        ZoneSettings zones,
        AdmissionSettings admission) {
    private static final Set<String> KNOWN = Set.of("shares", "log", "machines", "zones", "admission");
    private static final double IDLE_KEEP_MOST_S = 3600;
    private static final double SPOT_RISK_MOST = 100;

    /** The settings without a file. */
    public static OperatorSettings defaults() {
        return new OperatorSettings(
                Map.of(),
                false,
                Constants.IDLE_KEEP_S,
                Constants.SPOT_RISK,
                ZoneSettings.disabled(),
                AdmissionSettings.disabled());
    }

    /** The same settings with others of zones. */
    public OperatorSettings withZones(ZoneSettings zones) {
        return new OperatorSettings(teamWeights, logTimestamps, idleKeepS, spotRisk, zones, admission);
    }

    /** The same settings with others of admission. */
    public OperatorSettings withAdmission(AdmissionSettings admission) {
        return new OperatorSettings(teamWeights, logTimestamps, idleKeepS, spotRisk, zones, admission);
    }

    /** The same settings with other weights of the teams' queues. */
    public OperatorSettings withTeamWeights(Map<String, Double> shares) {
        return new OperatorSettings(shares, logTimestamps, idleKeepS, spotRisk, zones, admission);
    }

    /** The weight of a team's queue. */
    public double teamWeight(String team) {
        return teamWeights.getOrDefault(team, 1.0);
    }

    /** Reads and checks the file. */
    public static OperatorSettings load(Path file) throws Settings.InvalidSettingException {
        Object content;
        try {
            content = new Load(LoadSettings.builder().setLabel(file.toString()).build())
                    .loadFromString(Files.readString(file));
        } catch (IOException | YamlEngineException e) {
            throw new Settings.InvalidSettingException(file.toString(), "cannot be read as YAML");
        }
        if (content != null && !(content instanceof Map)) {
            throw new Settings.InvalidSettingException(file.toString(), "not a map");
        }
        return of(Fields.asMap(content));
    }

    /** Checks settings that were read already. */
    public static OperatorSettings of(Map<String, Object> content) throws Settings.InvalidSettingException {
        SettingsSection root = SettingsSection.of("", content, KNOWN);
        SettingsSection log = section(root, "log", Set.of("format"));
        SettingsSection machines = section(root, "machines", Set.of("idle_keep_s", "spot_risk"));
        return new OperatorSettings(
                teamWeights(root),
                log.choice("format", "plain", "timed").equals("timed"),
                machines.number("idle_keep_s", 0, IDLE_KEEP_MOST_S, Constants.IDLE_KEEP_S),
                machines.number("spot_risk", 1, SPOT_RISK_MOST, Constants.SPOT_RISK),
                ZoneSettingsReader.read(root.value("zones")),
                AdmissionSettingsReader.read(root.value("admission")));
    }

    private static SettingsSection section(SettingsSection root, String name, Set<String> known)
            throws Settings.InvalidSettingException {
        Object section = root.value(name);
        return SettingsSection.of(name, section == null ? Map.of() : section, known);
    }

    private static Map<String, Double> teamWeights(SettingsSection root) throws Settings.InvalidSettingException {
        Object section = root.value("shares");
        if (section != null && !(section instanceof Map)) {
            throw new Settings.InvalidSettingException("shares", "must be a map");
        }
        Map<String, Double> shares = new LinkedHashMap<>();
        for (Map.Entry<String, Object> entry : Fields.asMap(section).entrySet()) {
            if (!(entry.getValue() instanceof Number share)
                    || !(share.doubleValue() > 0)
                    || !Double.isFinite(share.doubleValue())) {
                throw new Settings.InvalidSettingException("shares." + entry.getKey(), "must be a number above 0");
            }
            shares.put(entry.getKey(), share.doubleValue());
        }
        return shares;
    }

    /** Checks what these settings name against the platform's. */
    void checkAgainst(List<Settings.Objective> objectives) throws Settings.InvalidSettingException {
        for (String name : zones.displacementClasses()) {
            if (objectives.stream().noneMatch(objective -> objective.jobClass().equals(name))) {
                throw new Settings.InvalidSettingException(
                        "zones.displacement", name + " is no class of the platform's settings");
            }
        }
    }

    /** The values in force, a line each. */
    public List<String> effectiveValues() {
        List<String> lines = new ArrayList<>();
        teamWeights.forEach((team, share) -> lines.add("shares." + team + " = " + share));
        lines.add("log.format = " + (logTimestamps ? "timed" : "plain"));
        lines.add("machines.idle_keep_s = " + idleKeepS);
        lines.add("machines.spot_risk = " + spotRisk);
        ZoneSettingsReader.effectiveValues(zones)
                .forEach((field, value) -> lines.add("zones." + field + " = " + value));
        AdmissionSettingsReader.effectiveValues(admission)
                .forEach((field, value) -> lines.add("admission." + field + " = " + value));
        return lines;
    }
}
