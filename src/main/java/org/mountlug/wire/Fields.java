package org.mountlug.wire;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Lenient access to fields of messages from services that are trusted to keep the protocol. Bodies from users are validated
 * elsewhere.
 */
public final class Fields {
    private Fields() {}

    /** Returns a map of these names and values, given alternately, in this order. */
    public static Map<String, Object> orderedMap(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    /** Returns the text of a field, or null if it is absent or no text. */
    public static String getString(Map<String, Object> fields, String name) {
        return fields.get(name) instanceof String text ? text : null;
    }

    /** Returns the text of a field, or the default if it is absent or no text. */
    public static String getString(Map<String, Object> fields, String name, String defaultValue) {
        return fields.get(name) instanceof String text ? text : defaultValue;
    }

    /** Returns the number of a field as an integer, or the default if it is absent or no number. */
    public static long getLong(Map<String, Object> fields, String name, long defaultValue) {
        return fields.get(name) instanceof Number number ? number.longValue() : defaultValue;
    }

    /** Returns the number of a field, or the default if it is absent or no number. */
    public static double getDouble(Map<String, Object> fields, String name, double defaultValue) {
        return fields.get(name) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** Returns the boolean of a field, or false if it is absent or no boolean. */
    public static boolean getBoolean(Map<String, Object> fields, String name) {
        return Boolean.TRUE.equals(fields.get(name));
    }

    /** Returns the value as a map, or an empty map if it is not one. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> asMap(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : Map.of();
    }

    /** Returns the list of a field, or an empty list if it is absent or no list. */
    @SuppressWarnings("unchecked")
    public static List<Object> getList(Map<String, Object> fields, String name) {
        return fields.get(name) instanceof List ? (List<Object>) fields.get(name) : List.of();
    }

    /** Returns the list of a field, or null if it is absent or no list; its elements are not checked to be texts. */
    @SuppressWarnings("unchecked")
    public static List<String> getStrings(Map<String, Object> fields, String name) {
        return fields.get(name) instanceof List ? (List<String>) fields.get(name) : null;
    }
}
