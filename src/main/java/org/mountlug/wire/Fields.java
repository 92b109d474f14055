package org.mountlug.wire;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Lenient access to fields of messages from parties we trust to keep the protocol; users' bodies are checked apart. */
public final class Fields {
    private Fields() {}

    /** A map of these names and values, in this order. */
    public static Map<String, Object> orderedMap(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    /** A text, or null. */
    public static String getString(Map<String, Object> m, String k) {
        return m.get(k) instanceof String s ? s : null;
    }

    /** A text, or the default. */
    public static String getString(Map<String, Object> m, String k, String def) {
        return m.get(k) instanceof String s ? s : def;
    }

    /** An integer, or the default. */
    public static long getLong(Map<String, Object> m, String k, long def) {
        return m.get(k) instanceof Number n ? n.longValue() : def;
    }

    /** A number, or the default. */
    public static double getDouble(Map<String, Object> m, String k, double def) {
        return m.get(k) instanceof Number n ? n.doubleValue() : def;
    }

    /** A boolean; false if it is absent. */
    public static boolean getBoolean(Map<String, Object> m, String k) {
        return Boolean.TRUE.equals(m.get(k));
    }

    /** A map; empty if it is none. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> asMap(Object o) {
        return o instanceof Map ? (Map<String, Object>) o : Map.of();
    }

    /** A list; empty if it is absent. */
    @SuppressWarnings("unchecked")
    public static List<Object> getList(Map<String, Object> m, String k) {
        return m.get(k) instanceof List ? (List<Object>) m.get(k) : List.of();
    }

    /** A list of texts, or null if it is absent. */
    @SuppressWarnings("unchecked")
    public static List<String> getStrings(Map<String, Object> m, String k) {
        return m.get(k) instanceof List ? (List<String>) m.get(k) : null;
    }
}
