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
 * The operators' settings, in a YAML file in addition to the platform's file. Unlike in the platform's file, an
 * unknown field is an error, as it is a typing mistake and not a sign of a newer platform.
 * {@code operators.schema.json} describes the same file for editors.
 *
 * @param teamWeights weights by team; a team without an entry has weight 1
 * @param logTimestamps whether log lines begin with the time
 * @param idleKeepS seconds for which an idle machine is kept
 * @param spotRisk factor on spot prices that accounts for work lost with reclaimed machines
 */
public record OperatorSettings(
        Map<String, Double> teamWeights,
        boolean logTimestamps,
        double idleKeepS,
        double spotRisk,
        ZoneSettings zones,
        AdmissionSettings admission) {
    private static final Set<String> KNOWN_SECTIONS = Set.of("shares", "log", "machines", "zones", "admission");
    private static final double MAX_IDLE_KEEP_S = 3600;
    private static final double MAX_SPOT_RISK = 100;

    /** Returns the settings that apply without a file. */
    public static OperatorSettings defaults() {
        return new OperatorSettings(
                Map.of(),
                false,
                Constants.IDLE_KEEP_S,
                Constants.SPOT_RISK,
                ZoneSettings.disabled(),
                AdmissionSettings.disabled());
    }

    /** Returns these settings with other zone settings. */
    public OperatorSettings withZones(ZoneSettings zones) {
        return new OperatorSettings(teamWeights, logTimestamps, idleKeepS, spotRisk, zones, admission);
    }

    /** Returns these settings with other admission settings. */
    public OperatorSettings withAdmission(AdmissionSettings admission) {
        return new OperatorSettings(teamWeights, logTimestamps, idleKeepS, spotRisk, zones, admission);
    }

    /** Returns these settings with other team weights. */
    public OperatorSettings withTeamWeights(Map<String, Double> teamWeights) {
        return new OperatorSettings(teamWeights, logTimestamps, idleKeepS, spotRisk, zones, admission);
    }

    /** Returns the weight of a team. */
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
            throw new Settings.InvalidSettingException(file.toString(), "the top level must be a map");
        }
        return of(Fields.asMap(content));
    }

    /** Checks settings that have been parsed already. */
    public static OperatorSettings of(Map<String, Object> content) throws Settings.InvalidSettingException {
        SettingsSection root = SettingsSection.of("", content, KNOWN_SECTIONS);
        SettingsSection log = section(root, "log", Set.of("format"));
        SettingsSection machines = section(root, "machines", Set.of("idle_keep_s", "spot_risk"));
        return new OperatorSettings(
                teamWeights(root),
                log.choice("format", "plain", "timed").equals("timed"),
                machines.number("idle_keep_s", 0, MAX_IDLE_KEEP_S, Constants.IDLE_KEEP_S),
                machines.number("spot_risk", 1, MAX_SPOT_RISK, Constants.SPOT_RISK),
                ZoneSettingsReader.read(root.value("zones")),
                AdmissionSettingsReader.read(root.value("admission")));
    }

    private static SettingsSection section(SettingsSection root, String name, Set<String> knownFields)
            throws Settings.InvalidSettingException {
        Object section = root.value(name);
        return SettingsSection.of(name, section == null ? Map.of() : section, knownFields);
    }

    private static Map<String, Double> teamWeights(SettingsSection root) throws Settings.InvalidSettingException {
        Object section = root.value("shares");
        if (section != null && !(section instanceof Map)) {
            throw new Settings.InvalidSettingException("shares", "must be a map");
        }
        Map<String, Double> weights = new LinkedHashMap<>();
        for (Map.Entry<String, Object> entry : Fields.asMap(section).entrySet()) {
            if (!(entry.getValue() instanceof Number weight)
                    || !(weight.doubleValue() > 0)
                    || !Double.isFinite(weight.doubleValue())) {
                throw new Settings.InvalidSettingException("shares." + entry.getKey(), "must be a number above 0");
            }
            weights.put(entry.getKey(), weight.doubleValue());
        }
        return weights;
    }

    /** Checks that the job classes named in these settings have an objective in the platform's settings. */
    void checkAgainst(List<Settings.Objective> objectives) throws Settings.InvalidSettingException {
        for (String name : zones.displacementClasses()) {
            if (objectives.stream().noneMatch(objective -> objective.jobClass().equals(name))) {
                throw new Settings.InvalidSettingException(
                        "zones.displacement", name + " is not a job class of an objective in the platform's settings");
            }
        }
    }

    /** Returns the effective values as lines of the form {@code name = value}. */
    public List<String> effectiveValues() {
        List<String> lines = new ArrayList<>();
        teamWeights.forEach((team, weight) -> lines.add("shares." + team + " = " + weight));
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
