package org.mountlug.wire;

import java.util.List;
import java.util.Map;

/** Lenient access to fields of messages from parties we trust to keep the protocol; users' bodies are checked apart. */
public final class Fields {
    private Fields() {}

    public static String str(Map<String, Object> m, String k) {
        return m.get(k) instanceof String s ? s : null;
    }

    public static String str(Map<String, Object> m, String k, String def) {
        return m.get(k) instanceof String s ? s : def;
    }

    public static long num(Map<String, Object> m, String k, long def) {
        return m.get(k) instanceof Number n ? n.longValue() : def;
    }

    public static double dec(Map<String, Object> m, String k, double def) {
        return m.get(k) instanceof Number n ? n.doubleValue() : def;
    }

    public static boolean bool(Map<String, Object> m, String k) {
        return Boolean.TRUE.equals(m.get(k));
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> map(Object o) {
        return o instanceof Map ? (Map<String, Object>) o : Map.of();
    }

    @SuppressWarnings("unchecked")
    public static List<Object> list(Map<String, Object> m, String k) {
        return m.get(k) instanceof List ? (List<Object>) m.get(k) : List.of();
    }

    @SuppressWarnings("unchecked")
    public static List<String> strings(Map<String, Object> m, String k) {
        return m.get(k) instanceof List ? (List<String>) m.get(k) : null;
    }
}
