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

/** Settings name the field that is wrong. */
class SettingsTest {
    static Map<String, Object> good() {
        Map<String, Object> m = new HashMap<>(Map.of(
                "label", "a", "zone", "z", "listen", "10.0.0.1:80", "cluster_listen", "10.0.0.1:81", "surprise", 1L));
        m.put("endpoints", new HashMap<>(Map.of("cloud", "10.0.0.2:1", "state", "10.0.0.2:2")));
        Map<String, Object> c = new HashMap<>();
        c.put("teams", List.of(Map.of("name", "t")));
        c.put(
                "workers",
                new HashMap<>(Map.of(
                        "report_s", 2.0, "lease_s", 10.0, "gang_wait_s", 5.0, "gang_peer_s", 6.0, "cancel_s", 30.0)));
        c.put("state", new HashMap<>(Map.of("rps", 200.0, "write_rps", 25.0, "value_kb", 8.0, "txn_ops", 8L)));
        c.put("cloud", new HashMap<>(Map.of("rps", 4.0, "list_lag_s", 10.0)));
        m.put("cluster", c);
        return m;
    }

    @Test
    void unknownFieldsAreIgnored() throws Settings.InvalidSettingException {
        assertEquals(8, Settings.of(good(), OperatorSettings.defaults()).txnOps());
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
    void theBadFieldIsNamed(String path, String value) {
        Map<String, Object> m = good();
        String[] p = path.split("\\.");
        Map<String, Object> at = m;
        for (int i = 0; i < p.length - 1; i++) {
            at.computeIfAbsent(p[i], k -> new HashMap<>());
            at = (Map<String, Object>) at.get(p[i]);
        }
        Object v = value;
        if (value != null && value.matches("\\d+")) {
            v = Long.parseLong(value);
        }
        at.put(p[p.length - 1], v);
        Settings.InvalidSettingException e =
                assertThrows(Settings.InvalidSettingException.class, () -> Settings.of(m, OperatorSettings.defaults()));
        assertTrue(e.getMessage().startsWith(path + ":"), e.getMessage());
    }

    /** Of the limits that hold now and those to come the smaller ones count; any of the latter may be left out. */
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
    void theSmallerLimitsCount(String field, long value, double rps, double writes, double kb, int ops)
            throws Settings.InvalidSettingException {
        Map<String, Object> m = good();
        Map<String, Object> state = new HashMap<>(Map.of("rps", 200L, "write_rps", 25L, "value_kb", 8L, "txn_ops", 8L));
        if (field != null) {
            state.put("next", Map.of(field, value));
        }
        ((Map<String, Object>) m.get("cluster")).put("state", state);
        Settings s = Settings.of(m, OperatorSettings.defaults());
        assertEquals(
                List.of(rps, writes, kb, 8.0, (double) ops),
                List.of(s.stateRps(), s.stateWriteRps(), s.strictestValueLimitKb(), s.currentValueLimitKb(), (double)
                        s.txnOps()));
    }

    /** What cannot be met ends the start with the field's name; what may not be met is said. */
    @ParameterizedTest(name = "{0} sockets, {1} MB, heap {2} MB: {3}")
    @CsvSource({
        "2509, 360, 112, sockets for 2",
        "1200, 205, 112, sockets for",
        "200, 360, 112, cluster.machine_limits.fd_limit",
        "2509, 40, 112, cluster.machine_limits.mem_mb",
        "2509, 128, 112, may exceed",
        "2509, 0, 112, sockets for"
    })
    @SuppressWarnings("unchecked")
    void sizesThatCannotBeMetAreSaidAtTheStart(long sockets, long mb, double heapMb, String said)
            throws Settings.InvalidSettingException {
        Map<String, Object> m = good();
        ((Map<String, Object>) m.get("cluster")).put("machine_limits", Map.of("fd_limit", sockets, "mem_mb", mb));
        Settings s = Settings.of(m, OperatorSettings.defaults());
        if (said.startsWith("cluster.")) {
            Settings.InvalidSettingException e =
                    assertThrows(Settings.InvalidSettingException.class, () -> ControllerSizing.check(s, heapMb));
            assertTrue(e.getMessage().startsWith(said + ":"), e.getMessage());
        } else {
            assertTrue(String.join("; ", ControllerSizing.check(s, heapMb)).contains(said));
        }
    }

    /** All workers may come at the same time, so as many connections wait as there are sockets for workers. */
    @ParameterizedTest(name = "{0} sockets: {1} wait")
    @CsvSource({"600, 512", "2500, 2297", "5000, 4797"})
    void connectionsThatWaitFollowFromTheSockets(long sockets, int waiting) throws Settings.InvalidSettingException {
        Map<String, Object> m = good();
        Fields.asMap(m.get("cluster")).put("machine_limits", Map.of("fd_limit", sockets));
        assertEquals(waiting, ControllerSizing.backlog(Settings.of(m, OperatorSettings.defaults())));
    }

    @ParameterizedTest(name = "{0}.{1}")
    @CsvSource({"shares, t, -1", "log, format, xml", "machines, spot_risk, 0", "machins, a, 1"})
    void operatorsMistakesAreErrors(String table, String field, String value) {
        Object v = value.matches("-?\\d+") ? (Object) Long.parseLong(value) : value;
        assertThrows(
                Settings.InvalidSettingException.class, () -> OperatorSettings.of(Map.of(table, Map.of(field, v))));
    }
}
