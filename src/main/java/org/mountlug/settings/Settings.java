package org.mountlug.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.Team;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Fields;

/**
 * The platform's settings, checked field by field; fields it does not know are ignored. The state service's limits are
 * those of {@code state} and {@code state.next}, whichever is smaller, as the latter come into force without notice;
 * only a value may be as large as {@code valueKb} while records have to be read by versions that know no smaller ones.
 */
public record Settings(
        String label,
        String zone,
        String listenAddress,
        String clusterListenAddress,
        List<Peer> peers,
        String cloudAddress,
        String stateAddress,
        double maxClockSkewMs,
        List<Team> teams,
        List<Objective> objectives,
        double reportIntervalS,
        double workerLeaseS,
        double gangWaitS,
        double gangPeerS,
        double cancelWithinS,
        double stateRps,
        double stateWriteRps,
        double currentValueLimitKb,
        double strictestValueLimitKb,
        int txnOps,
        double cloudRps,
        double cloudListLagS,
        int fdLimit,
        double memoryLimitMb) {

    /** Another controller and the address at which it answers its peers. */
    public record Peer(String label, String endpoint) {}

    /** An aim as the platform restates it: {@code kind} wait, finished or deadline. */
    public record Objective(String kind, String jobClass, double withinS, double share) {}

    /** A setting that is missing or wrong, named by its path. */
    public static final class InvalidSettingException extends Exception {
        private static final long serialVersionUID = 1;

        /** Names the field and what is wrong with it. */
        public InvalidSettingException(String field, String problem) {
            super(field + ": " + problem);
        }
    }

    /** Reads and checks the platform's file. */
    public static Settings load(Path file, OperatorSettings operators) throws InvalidSettingException {
        Map<String, Object> m;
        try (JsonParser p = new TomlFactory().createParser(Files.readString(file))) {
            p.nextToken();
            m = Fields.asMap(Cbor.readValue(p, 0));
        } catch (IOException e) {
            throw new InvalidSettingException(file.toString(), "cannot be read as TOML (" + firstLine(e) + ")");
        }
        return of(m, operators);
    }

    /** Checks settings that were read already. */
    public static Settings of(Map<String, Object> m, OperatorSettings operators) throws InvalidSettingException {
        Reader root = new Reader("", m);
        List<Peer> others = new ArrayList<>();
        int i = 0;
        for (Object o : root.list("others", false)) {
            Reader r = new Reader("others[" + i++ + "].", Fields.asMap(o));
            others.add(new Peer(r.text("label"), r.address("endpoint")));
        }
        Reader ends = root.table("endpoints");
        Reader cluster = root.table("cluster");
        List<Team> teams = new ArrayList<>();
        i = 0;
        for (Object o : cluster.list("teams", true)) {
            Reader r = new Reader("cluster.teams[" + i++ + "].", Fields.asMap(o));
            String name = r.text("name");
            teams.add(new Team(
                    name,
                    r.number("cpus", 0, 0),
                    r.number("cpus_max", 0, 0),
                    r.number("gpus", 0, 0),
                    r.number("gpus_max", 0, 0),
                    operators.teamWeight(name)));
        }
        for (String name : operators.teamWeights().keySet()) {
            if (teams.stream().noneMatch(t -> t.name().equals(name))) {
                throw new InvalidSettingException("shares." + name, "no such team in the platform's settings");
            }
        }
        List<Objective> objectives = new ArrayList<>();
        for (Object o : cluster.list("objectives", false)) {
            Map<String, Object> x = Fields.asMap(o);
            objectives.add(new Objective(
                    Fields.getString(x, "kind", ""),
                    Fields.getString(x, "class", ""),
                    Fields.getDouble(x, "within_s", Double.NaN),
                    Fields.getDouble(x, "share", Double.NaN)));
        }
        operators.checkAgainst(objectives);
        Reader w = cluster.table("workers");
        Reader s = cluster.table("state");
        Reader next = s.m.get("next") == null ? new Reader("", Map.of()) : s.table("next");
        double valueKb = s.positive("value_kb");
        Reader c = cluster.table("cloud");
        Reader limits = new Reader("cluster.machine_limits.", Fields.asMap(cluster.m.get("machine_limits")));
        return new Settings(
                root.text("label"),
                root.text("zone"),
                root.address("listen"),
                root.address("cluster_listen"),
                others,
                ends.address("cloud"),
                ends.address("state"),
                cluster.number("skew_ms", 0, 0),
                teams,
                objectives,
                w.positive("report_s"),
                w.positive("lease_s"),
                w.positive("gang_wait_s"),
                w.positive("gang_peer_s"),
                w.positive("cancel_s"),
                next.least("rps", s.positive("rps")),
                next.least("write_rps", s.positive("write_rps")),
                valueKb,
                next.least("value_kb", valueKb),
                (int) Math.min(s.number("txn_ops", 1, Double.NaN), next.number("txn_ops", 1, Double.MAX_VALUE)),
                c.positive("rps"),
                c.number("list_lag_s", 0, Double.NaN),
                (int) limits.number("fd_limit", 16, 1024),
                limits.number("mem_mb", 0, 0));
    }

    private static String firstLine(Exception e) {
        String s = String.valueOf(e.getMessage());
        int n = s.indexOf('\n');
        return n < 0 ? s : s.substring(0, n);
    }

    private record Reader(String path, Map<String, Object> m) {
        Reader table(String k) throws InvalidSettingException {
            if (!(m.get(k) instanceof Map)) {
                throw new InvalidSettingException(path + k, "missing table");
            }
            return new Reader(path + k + ".", Fields.asMap(m.get(k)));
        }

        List<Object> list(String k, boolean required) throws InvalidSettingException {
            Object o = m.get(k);
            if (o == null && !required) {
                return List.of();
            }
            if (!(o instanceof List)) {
                throw new InvalidSettingException(path + k, o == null ? "missing" : "not a list");
            }
            return Fields.getList(m, k);
        }

        String text(String k) throws InvalidSettingException {
            if (!(m.get(k) instanceof String s) || s.isBlank()) {
                throw new InvalidSettingException(path + k, "missing or not a text");
            }
            return s;
        }

        String address(String k) throws InvalidSettingException {
            String s = text(k);
            int colon = s.lastIndexOf(':');
            try {
                int port = Integer.parseInt(s.substring(colon + 1));
                if (colon > 0 && port > 0 && port < 65536) {
                    return s;
                }
            } catch (NumberFormatException e) {
                // reported below
            }
            throw new InvalidSettingException(path + k, "not an address of the form 10.0.0.1:8080");
        }

        double positive(String k) throws InvalidSettingException {
            double d = number(k, 0, Double.NaN);
            if (d <= 0) {
                throw new InvalidSettingException(path + k, "must be above 0");
            }
            return d;
        }

        /** The smaller of this number, if it is there, and {@code now}. */
        double least(String k, double now) throws InvalidSettingException {
            return m.get(k) == null ? now : Math.min(now, positive(k));
        }

        /** A number of at least {@code least}; {@code def} NaN makes it required. */
        double number(String k, double least, double def) throws InvalidSettingException {
            Object o = m.get(k);
            if (o == null && !Double.isNaN(def)) {
                return def;
            }
            if (!(o instanceof Number n)) {
                throw new InvalidSettingException(path + k, o == null ? "missing" : "not a number");
            }
            double d = n.doubleValue();
            if (!Double.isFinite(d) || d < least) {
                throw new InvalidSettingException(path + k, "must be at least " + least);
            }
            return d;
        }
    }
}
