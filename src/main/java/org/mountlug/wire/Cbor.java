package org.mountlug.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bodies as plain maps and lists, over Jackson's streaming reader and writer: no reflection, which costs a JVM on a
 * quarter of a core more than the parsing itself.
 */
public final class Cbor {
    private static final CBORFactory FACTORY = new CBORFactory();
    private static final int DEPTH_MAX = 24;

    private Cbor() {}

    /** Reads one value; anything after it, or nothing, is an error. */
    public static Object read(byte[] body) throws IOException {
        try (JsonParser p = FACTORY.createParser(body)) {
            if (p.nextToken() == null) {
                throw new IOException("empty body");
            }
            Object v = readValue(p, 0);
            if (p.nextToken() != null) {
                throw new IOException("more than one value");
            }
            return v;
        }
    }

    /** Reads a message; throws if it is no map. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> readMap(byte[] body) throws IOException {
        Object v = read(body);
        if (!(v instanceof Map)) {
            throw new IOException("not a map");
        }
        return (Map<String, Object>) v;
    }

    /** Reads the value at which a streaming parser stands; serves TOML as well. */
    public static Object readValue(JsonParser p, int depth) throws IOException {
        if (depth > DEPTH_MAX) {
            throw new IOException("nested too deeply");
        }
        JsonToken t = p.currentToken();
        if (t == null) {
            throw new IOException("value cut short");
        }
        switch (t) {
            case START_OBJECT -> {
                Map<String, Object> m = new LinkedHashMap<>();
                while (true) {
                    JsonToken n = p.nextToken();
                    if (n == JsonToken.END_OBJECT) {
                        return m;
                    }
                    if (n != JsonToken.FIELD_NAME) {
                        throw new IOException("value cut short");
                    }
                    String k = p.currentName();
                    p.nextToken();
                    m.put(k, readValue(p, depth + 1));
                }
            }
            case START_ARRAY -> {
                List<Object> l = new ArrayList<>();
                while (true) {
                    JsonToken n = p.nextToken();
                    if (n == JsonToken.END_ARRAY) {
                        return l;
                    }
                    if (n == null) {
                        throw new IOException("value cut short");
                    }
                    l.add(readValue(p, depth + 1));
                }
            }
            case VALUE_STRING -> {
                return p.getText();
            }
            case VALUE_NUMBER_INT -> {
                Number n = p.getNumberValue();
                return n instanceof BigInteger ? n : (Object) n.longValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return p.getDoubleValue();
            }
            case VALUE_TRUE -> {
                return Boolean.TRUE;
            }
            case VALUE_FALSE -> {
                return Boolean.FALSE;
            }
            case VALUE_NULL -> {
                return null;
            }
            default -> throw new IOException("unsupported value");
        }
    }

    /** Writes a message. */
    public static byte[] write(Object v) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator g = FACTORY.createGenerator(out)) {
            put(g, v);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return out.toByteArray();
    }

    private static void put(JsonGenerator g, Object v) throws IOException {
        if (v == null) {
            g.writeNull();
        } else if (v instanceof String s) {
            g.writeString(s);
        } else if (v instanceof Long n) {
            g.writeNumber(n.longValue());
        } else if (v instanceof Integer n) {
            g.writeNumber(n.intValue());
        } else if (v instanceof Double d) {
            g.writeNumber(d.doubleValue());
        } else if (v instanceof BigInteger b) {
            g.writeNumber(b);
        } else if (v instanceof Boolean b) {
            g.writeBoolean(b);
        } else if (v instanceof Map<?, ?> m) {
            g.writeStartObject(m, m.size());
            for (Map.Entry<?, ?> e : m.entrySet()) {
                g.writeFieldName((String) e.getKey());
                put(g, e.getValue());
            }
            g.writeEndObject();
        } else if (v instanceof List<?> l) {
            g.writeStartArray(l, l.size());
            for (Object o : l) {
                put(g, o);
            }
            g.writeEndArray();
        } else {
            throw new IllegalArgumentException("cannot write " + v.getClass());
        }
    }
}
