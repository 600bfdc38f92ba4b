package org.hyssophitch.wire.net;

/** Rules of RFC 9110 and RFC 9112 for the parts of a response's head. Stateless. */
final class HttpGrammar {

    private static final int DELETE = 0x7f;

    private HttpGrammar() {}

    /** Returns whether a byte may stand in a reason phrase or in the value of a field. */
    static boolean isText(byte b) {
        return isText((char) (b & 0xff));
    }

    /** Returns whether a character may stand in a reason phrase or in the value of a field. */
    static boolean isText(char c) {
        return c >= ' ' && c != DELETE || c == '\t';
    }
}
