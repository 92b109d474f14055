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
 * The platform's settings, checked field by field; unknown fields are ignored. The limits of the state service are the
 * smaller ones of {@code state} and {@code state.next}, as the latter take effect without notice. Only
 * {@code currentValueLimitKb} is the limit of {@code state} alone: it applies while records must be readable by
 * versions that cannot read records split into smaller ones.
 *
 * @param maxClockSkewMs the most by which a controller's clock differs from the true time
 * @param cancelWithinS seconds after the first acknowledgement of a cancellation by which the job's tasks must have
 *     ended
 * @param stateRps requests per second that the state service accepts from all controllers together
 * @param stateWriteRps writes per second that the state service accepts
 * @param txnOps writes that one transaction may have
 * @param cloudRps requests per second that the cloud accepts
 * @param cloudListLagS seconds by which the cloud's machine list may be out of date
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

    /**
     * An objective of the platform for a job class.
     *
     * @param kind wait, finished or deadline
     * @param withinS seconds; {@code NaN} if the setting is missing
     * @param share {@code NaN} if the setting is missing
     */
    public record Objective(String kind, String jobClass, double withinS, double share) {}

    /** Reports a missing or invalid setting by its path. */
    public static final class InvalidSettingException extends Exception {
        private static final long serialVersionUID = 1;

        /** Creates an exception that names the field and the problem. */
        public InvalidSettingException(String field, String problem) {
            super(field + ": " + problem);
        }
    }

    /** Reads and checks the platform's file. */
    public static Settings load(Path file, OperatorSettings operators) throws InvalidSettingException {
        Map<String, Object> fields;
        try (JsonParser parser = new TomlFactory().createParser(Files.readString(file))) {
            parser.nextToken();
            fields = Fields.asMap(Cbor.readValue(parser, 0));
        } catch (IOException e) {
            throw new InvalidSettingException(file.toString(), "cannot be read as TOML (" + firstLine(e) + ")");
        }
        return of(fields, operators);
    }

    /** Checks settings that have been parsed already. */
    public static Settings of(Map<String, Object> fields, OperatorSettings operators) throws InvalidSettingException {
        Reader root = new Reader("", fields);
        List<Peer> peers = new ArrayList<>();
        int index = 0;
        for (Object element : root.list("others", false)) {
            Reader reader = new Reader("others[" + index++ + "].", Fields.asMap(element));
            peers.add(new Peer(reader.text("label"), reader.address("endpoint")));
        }
        Reader endpoints = root.table("endpoints");
        Reader cluster = root.table("cluster");
        List<Team> teams = new ArrayList<>();
        index = 0;
        for (Object element : cluster.list("teams", true)) {
            Reader reader = new Reader("cluster.teams[" + index++ + "].", Fields.asMap(element));
            String name = reader.text("name");
            teams.add(new Team(
                    name,
                    reader.number("cpus", 0, 0),
                    reader.number("cpus_max", 0, 0),
                    reader.number("gpus", 0, 0),
                    reader.number("gpus_max", 0, 0),
                    operators.teamWeight(name)));
        }
        for (String name : operators.teamWeights().keySet()) {
            if (teams.stream().noneMatch(t -> t.name().equals(name))) {
                throw new InvalidSettingException(
                        "shares." + name, "the platform's settings have no team of this name");
            }
        }
        List<Objective> objectives = new ArrayList<>();
        for (Object element : cluster.list("objectives", false)) {
            Map<String, Object> objective = Fields.asMap(element);
            objectives.add(new Objective(
                    Fields.getString(objective, "kind", ""),
                    Fields.getString(objective, "class", ""),
                    Fields.getDouble(objective, "within_s", Double.NaN),
                    Fields.getDouble(objective, "share", Double.NaN)));
        }
        operators.checkAgainst(objectives);
        Reader workers = cluster.table("workers");
        Reader state = cluster.table("state");
        Reader next = state.fields.get("next") == null ? new Reader("", Map.of()) : state.table("next");
        double valueKb = state.positive("value_kb");
        Reader cloud = cluster.table("cloud");
        Reader machineLimits =
                new Reader("cluster.machine_limits.", Fields.asMap(cluster.fields.get("machine_limits")));
        return new Settings(
                root.text("label"),
                root.text("zone"),
                root.address("listen"),
                root.address("cluster_listen"),
                peers,
                endpoints.address("cloud"),
                endpoints.address("state"),
                cluster.number("skew_ms", 0, 0),
                teams,
                objectives,
                workers.positive("report_s"),
                workers.positive("lease_s"),
                workers.positive("gang_wait_s"),
                workers.positive("gang_peer_s"),
                workers.positive("cancel_s"),
                next.smallerOf("rps", state.positive("rps")),
                next.smallerOf("write_rps", state.positive("write_rps")),
                valueKb,
                next.smallerOf("value_kb", valueKb),
                (int) Math.min(state.number("txn_ops", 1, Double.NaN), next.number("txn_ops", 1, Double.MAX_VALUE)),
                cloud.positive("rps"),
                cloud.number("list_lag_s", 0, Double.NaN),
                (int) machineLimits.number("fd_limit", 16, 1024),
                machineLimits.number("mem_mb", 0, 0));
    }

    private static String firstLine(Exception e) {
        String message = String.valueOf(e.getMessage());
        int lineEnd = message.indexOf('\n');
        return lineEnd < 0 ? message : message.substring(0, lineEnd);
    }

    private record Reader(String path, Map<String, Object> fields) {
        Reader table(String name) throws InvalidSettingException {
            if (!(fields.get(name) instanceof Map)) {
                throw new InvalidSettingException(path + name, "missing or not a table");
            }
            return new Reader(path + name + ".", Fields.asMap(fields.get(name)));
        }

        List<Object> list(String name, boolean required) throws InvalidSettingException {
            Object value = fields.get(name);
            if (value == null && !required) {
                return List.of();
            }
            if (!(value instanceof List)) {
                throw new InvalidSettingException(path + name, value == null ? "missing" : "not a list");
            }
            return Fields.getList(fields, name);
        }

        String text(String name) throws InvalidSettingException {
            if (!(fields.get(name) instanceof String text) || text.isBlank()) {
                throw new InvalidSettingException(path + name, "missing or not a non-blank string");
            }
            return text;
        }

        String address(String name) throws InvalidSettingException {
            String address = text(name);
            int colon = address.lastIndexOf(':');
            try {
                int port = Integer.parseInt(address.substring(colon + 1));
                if (colon > 0 && port > 0 && port < 65536) {
                    return address;
                }
            } catch (NumberFormatException e) {
                // reported below
            }
            throw new InvalidSettingException(path + name, "not an address of the form 10.0.0.1:8080");
        }

        double positive(String name) throws InvalidSettingException {
            double number = number(name, 0, Double.NaN);
            if (number <= 0) {
                throw new InvalidSettingException(path + name, "must be above 0, but is " + number);
            }
            return number;
        }

        /**
         * Returns the smaller one of {@code currentLimit} and the field's number, or {@code currentLimit} if the field
         * is missing.
         */
        double smallerOf(String name, double currentLimit) throws InvalidSettingException {
            return fields.get(name) == null ? currentLimit : Math.min(currentLimit, positive(name));
        }

        /** Returns a number of at least {@code min}. If {@code defaultValue} is {@code NaN}, the field is required. */
        double number(String name, double min, double defaultValue) throws InvalidSettingException {
            Object value = fields.get(name);
            if (value == null && !Double.isNaN(defaultValue)) {
                return defaultValue;
            }
            if (!(value instanceof Number number)) {
                throw new InvalidSettingException(path + name, value == null ? "missing" : "not a number");
            }
            double checked = number.doubleValue();
            if (!Double.isFinite(checked) || checked < min) {
                throw new InvalidSettingException(path + name, "must be at least " + min + ", but is " + checked);
            }
            return checked;
        }
    }
}
