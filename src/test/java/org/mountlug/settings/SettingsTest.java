package org.mountlug.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.wire.Fields;

/** Tests that the settings are read and that errors name the invalid field. */
class SettingsTest {
    static Map<String, Object> validSettings() {
        Map<String, Object> settings = new HashMap<>(Map.of(
                "label", "a", "zone", "z", "listen", "10.0.0.1:80", "cluster_listen", "10.0.0.1:81", "surprise", 1L));
        settings.put("endpoints", new HashMap<>(Map.of("cloud", "10.0.0.2:1", "state", "10.0.0.2:2")));
        Map<String, Object> cluster = new HashMap<>();
        cluster.put("teams", List.of(Map.of("name", "t")));
        cluster.put(
                "workers",
                new HashMap<>(Map.of(
                        "report_s", 2.0, "lease_s", 10.0, "gang_wait_s", 5.0, "gang_peer_s", 6.0, "cancel_s", 30.0)));
        cluster.put("state", new HashMap<>(Map.of("rps", 200.0, "write_rps", 25.0, "value_kb", 8.0, "txn_ops", 8L)));
        cluster.put("cloud", new HashMap<>(Map.of("rps", 4.0, "list_lag_s", 10.0)));
        settings.put("cluster", cluster);
        return settings;
    }

    @Test
    void unknownFieldsAreIgnored() throws Settings.InvalidSettingException {
        assertEquals(
                8, Settings.of(validSettings(), OperatorSettings.defaults()).txnOps());
    }

    @SuppressWarnings("unchecked")
    @ParameterizedTest(name = "{0} = {1}")
    @CsvSource({
        "label, ",
        "listen, nowhere",
        "listen, 10.0.0.1:99999",
        "endpoints.state, ",
        "cluster.workers.lease_s, ",
        "cluster.workers.lease_s, 0",
        "cluster.state.txn_ops, 0",
        "cluster.cloud.rps, fast",
        "cluster.state.next, 5",
        "cluster.state.next.value_kb, 0",
        "cluster.state.next.txn_ops, many"
    })
    void errorNamesTheInvalidField(String path, String value) {
        Map<String, Object> settings = validSettings();
        String[] names = path.split("\\.");
        Map<String, Object> table = settings;
        for (int i = 0; i < names.length - 1; i++) {
            table.computeIfAbsent(names[i], unseen -> new HashMap<>());
            table = (Map<String, Object>) table.get(names[i]);
        }
        Object parsedValue = value;
        if (value != null && value.matches("\\d+")) {
            parsedValue = Long.parseLong(value);
        }
        table.put(names[names.length - 1], parsedValue);
        Settings.InvalidSettingException error = assertThrows(
                Settings.InvalidSettingException.class, () -> Settings.of(settings, OperatorSettings.defaults()));
        assertTrue(error.getMessage().startsWith(path + ":"), error.getMessage());
    }

    /** The smaller one of each current and upcoming limit applies; any upcoming limit may be missing. */
    @ParameterizedTest(name = "next: {0} = {1}")
    @CsvSource({
        ", 0, 200, 25, 8, 8",
        "rps, 90, 90, 25, 8, 8",
        "write_rps, 18, 200, 18, 8, 8",
        "value_kb, 2, 200, 25, 2, 8",
        "txn_ops, 4, 200, 25, 8, 4",
        "value_kb, 16, 200, 25, 8, 8",
        "colour, 1, 200, 25, 8, 8"
    })
    @SuppressWarnings("unchecked")
    void smallerStateLimitsApply(String field, long value, double rps, double writeRps, double valueKb, int txnOps)
            throws Settings.InvalidSettingException {
        Map<String, Object> content = validSettings();
        Map<String, Object> state = new HashMap<>(Map.of("rps", 200L, "write_rps", 25L, "value_kb", 8L, "txn_ops", 8L));
        if (field != null) {
            state.put("next", Map.of(field, value));
        }
        ((Map<String, Object>) content.get("cluster")).put("state", state);
        Settings settings = Settings.of(content, OperatorSettings.defaults());
        assertEquals(
                List.of(rps, writeRps, valueKb, 8.0, (double) txnOps),
                List.of(
                        settings.stateRps(),
                        settings.stateWriteRps(),
                        settings.strictestValueLimitKb(),
                        settings.currentValueLimitKb(),
                        (double) settings.txnOps()));
    }

    /**
     * If a limit is too low for a controller, the start fails with an error that names the field; a limit that may be
     * too low only causes a notice.
     */
    @ParameterizedTest(name = "{0} file descriptors, {1} MB, heap {2} MB: {3}")
    @CsvSource({
        "2509, 360, 112, sockets for 2",
        "1200, 205, 112, sockets for",
        "200, 360, 112, cluster.machine_limits.fd_limit",
        "2509, 40, 112, cluster.machine_limits.mem_mb",
        "2509, 128, 112, may exceed",
        "2509, 0, 112, sockets for"
    })
    @SuppressWarnings("unchecked")
    void machineLimitsAreCheckedAtStart(long fdLimit, long memoryMb, double heapMb, String expected)
            throws Settings.InvalidSettingException {
        Map<String, Object> content = validSettings();
        ((Map<String, Object>) content.get("cluster"))
                .put("machine_limits", Map.of("fd_limit", fdLimit, "mem_mb", memoryMb));
        Settings settings = Settings.of(content, OperatorSettings.defaults());
        if (expected.startsWith("cluster.")) {
            Settings.InvalidSettingException error = assertThrows(
                    Settings.InvalidSettingException.class, () -> ControllerSizing.check(settings, heapMb));
            assertTrue(error.getMessage().startsWith(expected + ":"), error.getMessage());
        } else {
            assertTrue(
                    String.join("; ", ControllerSizing.check(settings, heapMb)).contains(expected));
        }
    }

    /** All workers may connect at the same time, so as many connections may wait as there are sockets for workers. */
    @ParameterizedTest(name = "{0} file descriptors: {1} waiting connections")
    @CsvSource({"600, 512", "2500, 2297", "5000, 4797"})
    void acceptBacklogCoversAllWorkers(long fdLimit, int backlog) throws Settings.InvalidSettingException {
        Map<String, Object> content = validSettings();
        Fields.asMap(content.get("cluster")).put("machine_limits", Map.of("fd_limit", fdLimit));
        assertEquals(backlog, ControllerSizing.backlog(Settings.of(content, OperatorSettings.defaults())));
    }

    @ParameterizedTest(name = "{0}.{1}")
    @CsvSource({"shares, t, -1", "log, format, xml", "machines, spot_risk, 0", "machins, a, 1"})
    void invalidOperatorSettingsAreRejected(String table, String field, String value) {
        Object parsedValue = value.matches("-?\\d+") ? (Object) Long.parseLong(value) : value;
        assertThrows(
                Settings.InvalidSettingException.class,
                () -> OperatorSettings.of(Map.of(table, Map.of(field, parsedValue))));
    }
}
