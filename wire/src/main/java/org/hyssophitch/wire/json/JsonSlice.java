package org.hyssophitch.wire.json;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.hyssophitch.core.store.InvalidObjectException;

/**
 * A value within a JSON text, found by its quotes and brackets alone. Immutable; shares the text with other slices.
 *
 * <p>A text that holds values of several writers is split with it, so that one value that can't be decoded affects no
 * other one: the parser reads only the slices that are asked for, each alone. Splitting uses no recursion and accepts
 * any depth and length of values.
 */
public final class JsonSlice {

    private final byte[] text;
    private final int start;
    private final int end;

    private JsonSlice(byte[] text, int start, int end) {
        this.text = text;
        this.start = start;
        this.end = end;
    }

    /** Returns a whole text as a slice. */
    public static JsonSlice of(byte[] text) {
        return trimmed(text, 0, text.length);
    }

    /**
     * Returns the value of an object's member, the last one if there are several; empty if there is none.
     *
     * @throws InvalidObjectException if this isn't an object, or its end or a member's name can't be found
     */
    public Optional<JsonSlice> member(String name) throws InvalidObjectException {
        JsonSlice found = null;
        int at = open('{', '}', "object");
        while (at < end - 1) {
            int nameEnd = text[at] == '"' ? skipString(at) : end;
            int colon = skipSpace(nameEnd);
            if (colon >= end - 1 || text[colon] != ':') {
                throw new InvalidObjectException("malformed object at byte " + at);
            }
            int valueEnd = skipValue(colon + 1);
            if (isName(at, nameEnd, name)) {
                found = trimmed(text, colon + 1, valueEnd);
            }
            at = skipSeparator(valueEnd);
        }
        return Optional.ofNullable(found);
    }

    /**
     * Returns the value of an object's member.
     *
     * @throws InvalidObjectException if there is none, this isn't an object, or its end can't be found
     */
    public JsonSlice required(String name) throws InvalidObjectException {
        return member(name).orElseThrow(() -> new InvalidObjectException("missing field: " + name));
    }

    /**
     * Returns the elements of an array.
     *
     * @throws InvalidObjectException if this isn't an array, or the end of an element can't be found
     */
    public List<JsonSlice> elements() throws InvalidObjectException {
        List<JsonSlice> elements = new ArrayList<>();
        int at = open('[', ']', "array");
        while (at < end - 1) {
            int valueEnd = skipValue(at);
            elements.add(trimmed(text, at, valueEnd));
            at = skipSeparator(valueEnd);
        }
        return elements;
    }

    /**
     * Returns the value of an object's member with a boolean; false if there is none.
     *
     * @throws InvalidObjectException if it is no boolean
     */
    public boolean flag(String name) throws InvalidObjectException {
        Optional<JsonSlice> value = member(name);
        if (value.isEmpty() || value.get().is("false")) {
            return false;
        }
        if (!value.get().is("true")) {
            throw new InvalidObjectException("missing or invalid field: " + name);
        }
        return true;
    }

    /** Returns the value of an object's member with a whole number, or the default value if it is unreadable. */
    public long wholeNumber(String name, long defaultValue) {
        try {
            return required(name).decode(Json::wholeNumber);
        } catch (InvalidObjectException e) {
            return defaultValue;
        }
    }

    /** Returns the length of the text in bytes. */
    public int length() {
        return end - start;
    }

    /** Returns a copy of this part of the text. */
    public byte[] bytes() {
        return Arrays.copyOfRange(text, start, end);
    }

    /**
     * Parses this value and converts it.
     *
     * @throws InvalidObjectException if it is malformed, or the conversion finds a field that is
     */
    public <T> T decode(Function<JsonNode, T> converter) throws InvalidObjectException {
        return Json.convert(() -> Json.MAPPER.readTree(text, start, end - start), converter);
    }

    private boolean is(String literal) {
        return equalsText(start, end, literal);
    }

    /** Returns the position of the first member or element. */
    private int open(char opening, char closing, String type) throws InvalidObjectException {
        if (end - start < 2 || text[start] != opening || text[end - 1] != closing) {
            throw new InvalidObjectException("not an " + type);
        }
        return skipSpace(start + 1);
    }

    private int skipSpace(int from) {
        int at = from;
        while (at < end && isSpace(text[at])) {
            at++;
        }
        return at;
    }

    /** Returns the position of the next member or element, given that of the comma or of the closing bracket. */
    private int skipSeparator(int from) throws InvalidObjectException {
        if (from < end - 1 && text[from] != ',') {
            throw new InvalidObjectException("unbalanced brackets at byte " + from);
        }
        return skipSpace(Math.min(end, from + 1));
    }

    /** Returns the position of the comma or bracket that ends a value. */
    private int skipValue(int from) throws InvalidObjectException {
        int depth = 0;
        int at = from;
        while (at < end) {
            switch (text[at]) {
                case '"' -> at = skipString(at) - 1;
                case '{', '[' -> depth++;
                case '}', ']' -> depth--;
                default -> {}
            }
            if (depth < 0 || depth == 0 && text[at] == ',') {
                return at;
            }
            at++;
        }
        throw new InvalidObjectException("unbalanced brackets after byte " + from);
    }

    /** Returns the position after a string. */
    private int skipString(int from) throws InvalidObjectException {
        for (int at = from + 1; at < end; at++) {
            if (text[at] == '"') {
                return at + 1;
            }
            if (text[at] == '\\') {
                at++;
            }
        }
        throw new InvalidObjectException("string without an end at byte " + from);
    }

    /** Returns whether a member has a name; one with escape sequences is decoded. */
    private boolean isName(int from, int to, String name) {
        if (equalsText(from + 1, to - 1, name)) {
            return true;
        }
        boolean hasEscape = false;
        for (int at = from; at < to && !hasEscape; at++) {
            hasEscape = text[at] == '\\';
        }
        return hasEscape && name.equals(decodedName(from, to));
    }

    private String decodedName(int from, int to) {
        try {
            return Json.MAPPER.readTree(text, from, to - from).textValue();
        } catch (IOException e) {
            return null;
        }
    }

    private boolean equalsText(int from, int to, String expected) {
        byte[] bytes = expected.getBytes(StandardCharsets.UTF_8);
        return Arrays.equals(text, from, to, bytes, 0, bytes.length);
    }

    private static JsonSlice trimmed(byte[] text, int from, int to) {
        int first = from;
        int last = to;
        while (first < last && isSpace(text[first])) {
            first++;
        }
        while (last > first && isSpace(text[last - 1])) {
            last--;
        }
        return new JsonSlice(text, first, last);
    }

    private static boolean isSpace(byte b) {
        return b == ' ' || b == '\n' || b == '\r' || b == '\t';
    }
}
