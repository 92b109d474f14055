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
public record Operators(
        Map<String, Double> shares,
        boolean logTimes,
        double idleKeepS,
        double spotRisk,
        ZoneSettings zones,
        AdmissionSettings admission) {
    private static final Set<String> KNOWN = Set.of("shares", "log", "machines", "zones", "admission");
    private static final double IDLE_KEEP_MOST_S = 3600;
    private static final double SPOT_RISK_MOST = 100;

    /** The settings without a file. */
    public static Operators defaults() {
        return new Operators(
                Map.of(),
                false,
                Constants.IDLE_KEEP_S,
                Constants.SPOT_RISK,
                ZoneSettings.disabled(),
                AdmissionSettings.disabled());
    }

    /** The same settings with others of zones. */
    public Operators with(ZoneSettings zones) {
        return new Operators(shares, logTimes, idleKeepS, spotRisk, zones, admission);
    }

    /** The same settings with others of admission. */
    public Operators with(AdmissionSettings admission) {
        return new Operators(shares, logTimes, idleKeepS, spotRisk, zones, admission);
    }

    /** The same settings with other weights of the teams' queues. */
    public Operators with(Map<String, Double> shares) {
        return new Operators(shares, logTimes, idleKeepS, spotRisk, zones, admission);
    }

    /** The weight of a team's queue. */
    public double share(String team) {
        return shares.getOrDefault(team, 1.0);
    }

    /** Reads and checks the file. */
    public static Operators load(Path file) throws Settings.Invalid {
        Object content;
        try {
            content = new Load(LoadSettings.builder().setLabel(file.toString()).build())
                    .loadFromString(Files.readString(file));
        } catch (IOException | YamlEngineException e) {
            throw new Settings.Invalid(file.toString(), "cannot be read as YAML");
        }
        if (content != null && !(content instanceof Map)) {
            throw new Settings.Invalid(file.toString(), "not a map");
        }
        return of(Fields.map(content));
    }

    /** Checks settings that were read already. */
    public static Operators of(Map<String, Object> content) throws Settings.Invalid {
        OperatorFields root = OperatorFields.of("", content, KNOWN);
        OperatorFields log = section(root, "log", Set.of("format"));
        OperatorFields machines = section(root, "machines", Set.of("idle_keep_s", "spot_risk"));
        return new Operators(
                shares(root),
                log.word("format", "plain", "timed").equals("timed"),
                machines.number("idle_keep_s", 0, IDLE_KEEP_MOST_S, Constants.IDLE_KEEP_S),
                machines.number("spot_risk", 1, SPOT_RISK_MOST, Constants.SPOT_RISK),
                ZoneSettingsReader.read(root.value("zones")),
                AdmissionSettingsReader.read(root.value("admission")));
    }

    private static OperatorFields section(OperatorFields root, String name, Set<String> known) throws Settings.Invalid {
        Object section = root.value(name);
        return OperatorFields.of(name, section == null ? Map.of() : section, known);
    }

    private static Map<String, Double> shares(OperatorFields root) throws Settings.Invalid {
        Object section = root.value("shares");
        if (section != null && !(section instanceof Map)) {
            throw new Settings.Invalid("shares", "must be a map");
        }
        Map<String, Double> shares = new LinkedHashMap<>();
        for (Map.Entry<String, Object> entry : Fields.map(section).entrySet()) {
            if (!(entry.getValue() instanceof Number share)
                    || !(share.doubleValue() > 0)
                    || !Double.isFinite(share.doubleValue())) {
                throw new Settings.Invalid("shares." + entry.getKey(), "must be a number above 0");
            }
            shares.put(entry.getKey(), share.doubleValue());
        }
        return shares;
    }

    /** Checks what these settings name against the platform's. */
    void check(List<Settings.Objective> objectives) throws Settings.Invalid {
        for (String name : zones.displacement()) {
            if (objectives.stream().noneMatch(objective -> objective.lane().equals(name))) {
                throw new Settings.Invalid("zones.displacement", name + " is no class of the platform's settings");
            }
        }
    }

    /** The values in force, a line each. */
    public List<String> inForce() {
        List<String> lines = new ArrayList<>();
        shares.forEach((team, share) -> lines.add("shares." + team + " = " + share));
        lines.add("log.format = " + (logTimes ? "timed" : "plain"));
        lines.add("machines.idle_keep_s = " + idleKeepS);
        lines.add("machines.spot_risk = " + spotRisk);
        ZoneSettingsReader.inForce(zones).forEach((field, value) -> lines.add("zones." + field + " = " + value));
        AdmissionSettingsReader.inForce(admission)
                .forEach((field, value) -> lines.add("admission." + field + " = " + value));
        return lines;
    }
}
