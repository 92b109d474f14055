package org.mountlug.wire;

import java.util.List;
import java.util.Map;

/** Computes the length of values in JSON, by which the protocol limits sizes. Nothing is written as JSON. */
public final class Json {
    private Json() {}

    /** Returns the number of characters of a value in JSON, with characters outside printable ASCII as escapes. */
    public static int length(Object value) {
        if (value instanceof Map<?, ?> map) {
            int chars = 2 + Math.max(0, map.size() - 1);
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                chars += length(entry.getKey()) + 1 + length(entry.getValue());
            }
            return chars;
        }
        if (value instanceof List<?> list) {
            int chars = 2 + Math.max(0, list.size() - 1);
            for (Object element : list) {
                chars += length(element);
            }
            return chars;
        }
        if (!(value instanceof String text)) {
            return String.valueOf(value).length();
        }
        int chars = 2;
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            chars += character == '"' || character == '\\' ? 2 : character < ' ' || character > '~' ? 6 : 1;
        }
        return chars;
    }
}
