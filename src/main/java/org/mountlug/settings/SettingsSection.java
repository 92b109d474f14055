package org.mountlug.settings;

import java.util.Map;
import java.util.Set;
import org.mountlug.wire.Fields;

/** One section of the operators' file: each field is looked up by name, checked, and named in full if it is wrong. */
record SettingsSection(String path, Map<String, Object> values) {
    /** A section in which no other fields than these may stand. */
    static SettingsSection of(String path, Object section, Set<String> known) throws Settings.InvalidSettingException {
        if (!(section instanceof Map)) {
            throw new Settings.InvalidSettingException(path, "must be a map");
        }
        SettingsSection fields = new SettingsSection(path, Fields.asMap(section));
        for (Object name : fields.values.keySet()) {
            if (!known.contains(name)) {
                throw fields.invalid(String.valueOf(name), "unknown field");
            }
        }
        return fields;
    }

    Settings.InvalidSettingException invalid(String field, String problem) {
        return new Settings.InvalidSettingException(path.isEmpty() ? field : path + "." + field, problem);
    }

    /** The field as it was read, or null. */
    Object value(String field) {
        return values.get(field);
    }

    /** A number within these bounds, or the default if the field is missing. */
    double number(String field, double least, double most, double def) throws Settings.InvalidSettingException {
        Object value = values.get(field);
        if (value == null) {
            return def;
        }
        if (value instanceof Number number && number.doubleValue() >= least && number.doubleValue() <= most) {
            return number.doubleValue();
        }
        throw invalid(field, "must be a number from " + least + " to " + most);
    }

    /** A whole number within these bounds, or the default if the field is missing. */
    int integer(String field, int least, int most, int def) throws Settings.InvalidSettingException {
        double number = number(field, least, most, def);
        if (number != Math.rint(number)) {
            throw invalid(field, "must be a whole number");
        }
        return (int) number;
    }

    /** True or false, or the default if the field is missing. */
    boolean bool(String field, boolean def) throws Settings.InvalidSettingException {
        Object value = values.get(field);
        if (value == null) {
            return def;
        }
        if (value instanceof Boolean is) {
            return is;
        }
        throw invalid(field, "must be true or false");
    }

    /** One of these words, or the first if the field is missing. */
    String choice(String field, String... words) throws Settings.InvalidSettingException {
        Object value = values.get(field);
        if (value == null) {
            return words[0];
        }
        for (String word : words) {
            if (word.equals(value)) {
                return word;
            }
        }
        throw invalid(field, "must be one of " + String.join(", ", words));
    }
}
