package org.hyssophitch.wire.json;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.hyssophitch.core.store.InvalidObjectException;

/** Helpers for reading and writing JSON. Stateless. */
public final class Json {

    public static final JsonMapper MAPPER = new JsonMapper();

    /** Parses a JSON text. */
    interface Parser {
        JsonNode parse() throws IOException;
    }

    /** Thrown when a required field is missing, has the wrong type or has an invalid value. */
    public static final class FieldException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception about a field. */
        public FieldException(String field) {
            super("missing or invalid field: " + field);
        }
    }

    private Json() {}

    /**
     * Describes a failure to read JSON for the log, without any part of the text, which may hold keys; the messages of
     * the parser quote it.
     */
    public static String describe(Exception failure) {
        return switch (failure) {
            case FieldException e -> e.getMessage();
            case JsonProcessingException e
            when e.getLocation() != null ->
                "malformed JSON at byte " + e.getLocation().getByteOffset();
            default -> failure.getClass().getSimpleName();
        };
    }

    /** Parses a JSON tree. */
    public static JsonNode parse(byte[] body) throws IOException {
        return MAPPER.readTree(body);
    }

    /**
     * Parses a JSON text and converts it.
     *
     * @throws InvalidObjectException if it is malformed, or the conversion finds a field that is
     */
    public static <T> T decode(byte[] body, Function<JsonNode, T> converter) throws InvalidObjectException {
        return convert(() -> parse(body), converter);
    }

    /** Converts what a parser returns; an exhausted stack ends only this conversion. */
    static <T> T convert(Parser parser, Function<JsonNode, T> converter) throws InvalidObjectException {
        try {
            return converter.apply(parser.parse());
        } catch (IOException | RuntimeException e) {
            throw new InvalidObjectException(describe(e));
        } catch (StackOverflowError e) {
            throw new InvalidObjectException("nested too deeply");
        }
    }

    /** Serializes a JSON tree. */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the text of a required field. */
    public static String text(JsonNode node, String field) {
        return text(node.path(field), field, 0, Integer.MAX_VALUE);
    }

    /** Returns the text of a required field, which is neither empty nor longer than a number of characters. */
    public static String text(JsonNode node, String field, int maxLength) {
        return text(node.path(field), field, 1, maxLength);
    }

    /** Returns a text, which is neither empty nor longer than a number of characters. */
    public static String text(JsonNode value, int maxLength) {
        return text(value, "text", 1, maxLength);
    }

    private static String text(JsonNode value, String field, int minLength, int maxLength) {
        String text = value.textValue();
        if (text == null || text.length() < minLength || text.length() > maxLength || !isWellFormed(text)) {
            throw new FieldException(field);
        }
        return text;
    }

    /** Returns whether a text has no surrogate alone, which can't be encoded for other hosts. */
    private static boolean isWellFormed(String text) {
        return text.codePoints().noneMatch(c -> c >= Character.MIN_SURROGATE && c <= Character.MAX_SURROGATE);
    }

    /** Returns the value of a required field with a whole number. */
    public static long number(JsonNode node, String field) {
        return wholeNumber(node.path(field), field);
    }

    /** Returns the value of a whole number. */
    public static long wholeNumber(JsonNode value) {
        return wholeNumber(value, "whole number");
    }

    /** Returns the value of a field with a whole number, or the default value if it is missing. */
    public static long optionalWholeNumber(JsonNode node, String field, long defaultValue) {
        JsonNode value = node.path(field);
        return isAbsent(value) ? defaultValue : wholeNumber(value, field);
    }

    private static long wholeNumber(JsonNode value, String field) {
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new FieldException(field);
        }
        return value.longValue();
    }

    /** Returns the value of a required field with a number in the range of an {@code int}; drops a fraction. */
    public static int integer(JsonNode node, String field) {
        return intValue(node.path(field), field);
    }

    /** Returns the value of a field with a number as {@link #integer}, or the default value if it is missing. */
    public static int optionalInteger(JsonNode node, String field, int defaultValue) {
        JsonNode value = node.path(field);
        return isAbsent(value) ? defaultValue : intValue(value, field);
    }

    /** Returns whether a field is missing or null. */
    public static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private static int intValue(JsonNode value, String field) {
        if (!value.isNumber() || !value.canConvertToInt()) {
            throw new FieldException(field);
        }
        return value.intValue();
    }

    /** Returns the value of a required field with a number. */
    public static double decimal(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw new FieldException(field);
        }
        return value.doubleValue();
    }

    /** Returns the value of a field with a number as {@link #integer}, or the default if it is no number. */
    public static int integer(JsonNode node, String field, int defaultValue) {
        JsonNode value = node.path(field);
        return value.isNumber() ? intValue(value, field) : defaultValue;
    }

    /** Returns the text of a field; empty when it is missing or not a string. */
    public static Optional<String> optionalText(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isTextual() ? Optional.of(text(node, field)) : Optional.empty();
    }

    /** Returns the elements of a required field with an array. */
    public static Stream<JsonNode> array(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            throw new FieldException(field);
        }
        return elements(value);
    }

    /** Returns the elements of a field with an array; none when it is missing. */
    public static Stream<JsonNode> optionalArray(JsonNode node, String field) {
        return isAbsent(node.path(field)) ? Stream.empty() : array(node, field);
    }

    /** Returns the elements of an array; none when the node is not an array. */
    public static Stream<JsonNode> elements(JsonNode list) {
        return list.isArray() ? StreamSupport.stream(list.spliterator(), false) : Stream.empty();
    }
}
