package org.hyssophitch.wire.net;

import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Rules of RFC 9110 and RFC 9112 for the parts of a response's head. Stateless. */
final class HttpGrammar {

    private static final int DELETE = 0x7f;
    /** Characters of a token besides letters and digits (RFC 9110, 5.6.2). */
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    /** Whether an ASCII character may stand in a token. */
    private static final boolean[] TOKEN_CHARACTERS = tokenCharacters();

    private static final String CHUNKED = "chunked";

    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private HttpGrammar() {}

    /** Returns whether a number is a status code (RFC 9110, 15). */
    static boolean isStatus(int code) {
        return code >= MIN_STATUS && code <= MAX_STATUS;
    }

    /** Returns whether the values of the {@code Content-Length} fields state one length. */
    static boolean isLength(List<String> lengths) {
        return lengths.size() == 1 && LENGTH.matcher(lengths.getFirst()).matches();
    }

    /** Returns whether a byte may stand in a reason phrase or in the value of a field. */
    static boolean isText(byte b) {
        return isText((char) (b & 0xff));
    }

    /** Returns whether a character may stand in a reason phrase or in the value of a field. */
    static boolean isText(char c) {
        return c >= ' ' && c != DELETE || c == '\t';
    }

    /** Returns whether a text may be a reason phrase or the value of a field. */
    static boolean isText(String text) {
        return text.chars().allMatch(c -> isText((char) c));
    }

    /** Returns whether a text is the name of a field. */
    static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(HttpGrammar::isTokenCharacter);
    }

    /** Returns whether a part of a line is the name of a field. */
    static boolean isToken(byte[] line, int start, int length) {
        for (int i = start; i < start + length; i++) {
            if (!isTokenCharacter(line[i] & 0xff)) {
                return false;
            }
        }
        return length > 0;
    }

    /** Returns whether the values of the {@code Transfer-Encoding} fields state chunks and no other transfer coding. */
    static boolean isChunked(List<String> codings) {
        List<String> names = codings.stream()
                .flatMap(v -> Stream.of(v.split(",")))
                .map(n -> n.trim().toLowerCase(Locale.ROOT))
                .filter(n -> !n.isEmpty())
                .toList();
        return names.equals(List.of(CHUNKED));
    }

    private static boolean isTokenCharacter(int c) {
        return c < TOKEN_CHARACTERS.length && TOKEN_CHARACTERS[c];
    }

    private static boolean[] tokenCharacters() {
        boolean[] all = new boolean[DELETE];
        IntStream.range(0, DELETE)
                .filter(c -> Character.isLetterOrDigit(c) || TOKEN_PUNCTUATION.indexOf(c) >= 0)
                .forEach(c -> all[c] = true);
        return all;
    }
}
