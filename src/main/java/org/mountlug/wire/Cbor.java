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
 * Reads and writes message bodies as plain maps and lists, with Jackson's streaming API. Data binding by reflection would take
 * more time than the parsing itself on a JVM with a quarter of a core.
 */
public final class Cbor {
    private static final CBORFactory FACTORY = new CBORFactory();
    private static final int MAX_DEPTH = 24;

    private Cbor() {}

    /** Reads a body of exactly one value; throws if it is empty or has more than one. */
    public static Object read(byte[] body) throws IOException {
        try (JsonParser parser = FACTORY.createParser(body)) {
            if (parser.nextToken() == null) {
                throw new IOException("empty body");
            }
            Object value = readValue(parser, 0);
            if (parser.nextToken() != null) {
                throw new IOException("body has more than one value");
            }
            return value;
        }
    }

    /** Reads a message; throws if the body is not a map. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> readMap(byte[] body) throws IOException {
        Object value = read(body);
        if (!(value instanceof Map)) {
            throw new IOException("body is not a map");
        }
        return (Map<String, Object>) value;
    }

    /**
     * Reads the value at the parser's current position; used for TOML as well.
     *
     * @param depth number of maps and lists around the value
     */
    public static Object readValue(JsonParser parser, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new IOException("value is nested more than " + MAX_DEPTH + " levels deep");
        }
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new IOException("value is incomplete");
        }
        switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (true) {
                    JsonToken next = parser.nextToken();
                    if (next == JsonToken.END_OBJECT) {
                        return map;
                    }
                    if (next != JsonToken.FIELD_NAME) {
                        throw new IOException("map is incomplete or has a key that is not a text");
                    }
                    String name = parser.currentName();
                    parser.nextToken();
                    map.put(name, readValue(parser, depth + 1));
                }
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (true) {
                    JsonToken next = parser.nextToken();
                    if (next == JsonToken.END_ARRAY) {
                        return list;
                    }
                    if (next == null) {
                        throw new IOException("list is incomplete");
                    }
                    list.add(readValue(parser, depth + 1));
                }
            }
            case VALUE_STRING -> {
                return parser.getText();
            }
            case VALUE_NUMBER_INT -> {
                Number number = parser.getNumberValue();
                return number instanceof BigInteger ? number : (Object) number.longValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return parser.getDoubleValue();
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
            default -> throw new IOException("unsupported type of value: " + token);
        }
    }

    /** Returns a message as CBOR. */
    public static byte[] write(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            writeValue(generator, value);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return out.toByteArray();
    }

    private static void writeValue(JsonGenerator generator, Object value) throws IOException {
        if (value == null) {
            generator.writeNull();
        } else if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Long number) {
            generator.writeNumber(number.longValue());
        } else if (value instanceof Integer number) {
            generator.writeNumber(number.intValue());
        } else if (value instanceof Double number) {
            generator.writeNumber(number.doubleValue());
        } else if (value instanceof BigInteger number) {
            generator.writeNumber(number);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value instanceof Map<?, ?> map) {
            generator.writeStartObject(map, map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                generator.writeFieldName((String) entry.getKey());
                writeValue(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof List<?> list) {
            generator.writeStartArray(list, list.size());
            for (Object element : list) {
                writeValue(generator, element);
            }
            generator.writeEndArray();
        } else {
            throw new IllegalArgumentException("cannot write a value of " + value.getClass());
        }
    }
}
