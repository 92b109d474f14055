package org.mountlug.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.mountlug.wire.Fields;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/**
 * The operators' own settings, in YAML beside the platform's file. Unlike there, an unknown field is an error: it is
 * a person's typing mistake, not a newer platform.
 */
public record Operators(Map<String, Double> shares, boolean logTimes, double idleKeepS, double spotRisk) {
    private static final Set<String> KNOWN = Set.of("shares", "log", "machines");

    /** The settings without a file. */
    public static Operators defaults() {
        return new Operators(Map.of(), false, org.mountlug.Constants.IDLE_KEEP_S, org.mountlug.Constants.SPOT_RISK);
    }

    /** The weight of a team's queue. */
    public double share(String team) {
        return shares.getOrDefault(team, 1.0);
    }

    /** Reads and checks the file. */
    public static Operators load(Path file) throws Settings.Invalid {
        Object o;
        try {
            o = new Load(LoadSettings.builder().setLabel(file.toString()).build())
                    .loadFromString(Files.readString(file));
        } catch (IOException | YamlEngineException e) {
            throw new Settings.Invalid(file.toString(), "cannot be read as YAML");
        }
        if (o != null && !(o instanceof Map)) {
            throw new Settings.Invalid(file.toString(), "not a map");
        }
        return of(Fields.map(o));
    }

    /** Checks settings that were read already. */
    public static Operators of(Map<String, Object> m) throws Settings.Invalid {
        for (Object k : m.keySet()) {
            if (!KNOWN.contains(k)) {
                throw new Settings.Invalid(String.valueOf(k), "unknown field");
            }
        }
        Map<String, Double> shares = new LinkedHashMap<>();
        for (Map.Entry<String, Object> e : Fields.map(m.get("shares")).entrySet()) {
            if (!(e.getValue() instanceof Number n) || !(n.doubleValue() > 0) || !Double.isFinite(n.doubleValue())) {
                throw new Settings.Invalid("shares." + e.getKey(), "must be a number above 0");
            }
            shares.put(e.getKey(), n.doubleValue());
        }
        Map<String, Object> log = Fields.map(m.get("log"));
        String format = Fields.str(log, "format", "plain");
        if (!format.equals("plain") && !format.equals("timed")) {
            throw new Settings.Invalid("log.format", "must be plain or timed");
        }
        Map<String, Object> machines = Fields.map(m.get("machines"));
        Operators d = defaults();
        return new Operators(
                shares,
                format.equals("timed"),
                within(machines, "idle_keep_s", 0, 3600, d.idleKeepS),
                within(machines, "spot_risk", 1, 100, d.spotRisk));
    }

    private static double within(Map<String, Object> m, String k, double least, double most, double def)
            throws Settings.Invalid {
        Object o = m.get(k);
        if (o == null) {
            return def;
        }
        if (o instanceof Number n && n.doubleValue() >= least && n.doubleValue() <= most) {
            return n.doubleValue();
        }
        throw new Settings.Invalid("machines." + k, "must be a number from " + least + " to " + most);
    }
}
