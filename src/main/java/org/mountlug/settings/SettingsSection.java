package org.mountlug.settings;

import java.util.Map;
import java.util.Set;
import org.mountlug.wire.Fields;

/**
 * One section of the operators' file. Each field is looked up by name and checked; an error has the field's full name.
 */
record SettingsSection(String path, Map<String, Object> values) {
    /** Returns a section after checking that it has no fields but the known ones. */
    static SettingsSection of(String path, Object section, Set<String> knownFields)
            throws Settings.InvalidSettingException {
        if (!(section instanceof Map)) {
            throw new Settings.InvalidSettingException(path, "must be a map");
        }
        SettingsSection fields = new SettingsSection(path, Fields.asMap(section));
        for (Object name : fields.values.keySet()) {
            if (!knownFields.contains(name)) {
                throw fields.invalid(String.valueOf(name), "unknown field");
            }
        }
        return fields;
    }

    Settings.InvalidSettingException invalid(String field, String problem) {
        return new Settings.InvalidSettingException(path.isEmpty() ? field : path + "." + field, problem);
    }

    /** Returns the value of a field as it was parsed, or null. */
    Object value(String field) {
        return values.get(field);
    }

    /** Returns a number within these bounds, or the default if the field is missing. */
    double number(String field, double min, double max, double defaultValue) throws Settings.InvalidSettingException {
        Object value = values.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && number.doubleValue() >= min && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        throw invalid(field, "must be a number from " + min + " to " + max);
    }

    /** Returns a whole number within these bounds, or the default if the field is missing. */
    int integer(String field, int min, int max, int defaultValue) throws Settings.InvalidSettingException {
        double number = number(field, min, max, defaultValue);
        if (number != Math.rint(number)) {
            throw invalid(field, "must be a whole number, but is " + number);
        }
        return (int) number;
    }

    /** Returns a boolean, or the default if the field is missing. */
    boolean bool(String field, boolean defaultValue) throws Settings.InvalidSettingException {
        Object value = values.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw invalid(field, "must be true or false");
    }

    /** Returns one of these choices, or the first one if the field is missing. */
    String choice(String field, String... choices) throws Settings.InvalidSettingException {
        Object value = values.get(field);
        if (value == null) {
            return choices[0];
        }
        for (String choice : choices) {
            if (choice.equals(value)) {
                return choice;
            }
        }
        throw invalid(field, "must be one of " + String.join(", ", choices));
    }
}
