package org.mountlug.wire;

import java.util.List;
import java.util.Map;

/** How long a value is in JSON, the form in which the protocol counts sizes; nothing is ever written in it. */
public final class Json {
    private Json() {}

    /** The number of characters of a value as JSON. */
    public static int length(Object o) {
        if (o instanceof Map<?, ?> m) {
            int n = 2 + Math.max(0, m.size() - 1);
            for (Map.Entry<?, ?> e : m.entrySet()) {
                n += length(e.getKey()) + 1 + length(e.getValue());
            }
            return n;
        }
        if (o instanceof List<?> l) {
            int n = 2 + Math.max(0, l.size() - 1);
            for (Object x : l) {
                n += length(x);
            }
            return n;
        }
        if (!(o instanceof String s)) {
            return String.valueOf(o).length();
        }
        int n = 2;
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            n += c == '"' || c == '\\' ? 2 : c < ' ' || c > '~' ? 6 : 1;
        }
        return n;
    }
}
