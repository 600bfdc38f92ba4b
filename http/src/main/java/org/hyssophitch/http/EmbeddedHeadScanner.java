package org.hyssophitch.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Looks for the head of a response in the body of another one. It stands there when a server breaks off a response and
 * sends it again, or sends a second one before it closes the connection that ends the first; and in sound bodies that
 * quote a response. Not thread-safe; one instance for each body.
 */
final class EmbeddedHeadScanner {

    /** Decides whether headers that were found in a body are those of a backend server's response. */
    interface HeadTest {

        /**
         * Returns whether the headers belong to a response.
         *
         * @param isWhole false if the body ends before the head does
         */
        boolean isResponse(HttpHeaders embedded, boolean isWhole);
    }

    /** Maximum size in bytes of the headers of a head that are looked at; what stands behind them decides nothing. */
    private static final int MAX_HEAD_BYTES = 65_536;

    private static final byte[] VERSION = {'H', 'T', 'T', 'P', '/', '1', '.'};
    /** Position of the space behind the version; the decoder takes several spaces or tabs there. */
    private static final int SPACE = VERSION.length + 1;
    /** Length of the beginning of a status line that is looked for: version, space and status code. */
    private static final int STATUS_LENGTH = SPACE + 4;

    private final HeadTest test;
    private final StringBuilder line = new StringBuilder();
    /** Headers of the head that is being read, or null outside a head. */
    private HttpHeaders head;

    /** Number of bytes at the end of what was scanned that may begin a status line. */
    private int matched;

    private int headBytes;
    private boolean isStatusLine;
    private boolean hasStatusLine;
    private boolean hasResponseHead;

    EmbeddedHeadScanner(HeadTest test) {
        this.test = test;
    }

    /** Scans the next piece of the body, which isn't changed. */
    void scan(ByteBuf piece) {
        int end = piece.writerIndex();
        int at = piece.readerIndex();
        while (at < end) {
            if (head == null && matched == 0) {
                at = piece.indexOf(at, end, VERSION[0]);
                if (at < 0) {
                    return;
                }
            }
            accept(piece.getByte(at));
            at++;
        }
    }

    /** Returns whether the body holds the beginning of a status line; its last bytes may be a part of one. */
    boolean mayHoldHead() {
        return hasStatusLine || matched > 0;
    }

    /** Returns whether the body holds the beginning of a status line. */
    boolean hasStatusLine() {
        return hasStatusLine;
    }

    /** Returns whether the body holds the head of a backend server's response, and something behind its headers. */
    boolean holdsHead() {
        return hasResponseHead;
    }

    /**
     * Returns whether a body that has ended holds the headers of a backend server's response, also without the empty
     * line behind them: the framing of the body may have taken that.
     */
    boolean holdsHeaders() {
        return hasResponseHead || head != null && test.isResponse(head, true);
    }

    /** Returns whether a body that has ended holds the head of a backend server's response, or ends inside one. */
    boolean holdsHeadAtEnd() {
        if (head != null && !isStatusLine) {
            addHeader(line.toString());
        }
        return hasResponseHead || head != null && test.isResponse(head, false);
    }

    private void accept(byte b) {
        boolean isFurtherSpace = matched == SPACE + 1 && isBlank(b);
        if (!isFurtherSpace) {
            matched = fits(b) ? matched + 1 : startsWith(b);
        }
        if (matched == STATUS_LENGTH) {
            beginHead();
        } else if (head != null) {
            acceptInHead(b);
        }
    }

    private boolean fits(byte b) {
        if (matched < VERSION.length) {
            return b == VERSION[matched];
        }
        return matched == SPACE ? isBlank(b) : b >= '0' && b <= '9';
    }

    private static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }

    private static int startsWith(byte b) {
        return b == VERSION[0] ? 1 : 0;
    }

    /** Begins a head. One that a server breaks off and begins anew goes on with the headers that it had. */
    private void beginHead() {
        matched = 0;
        hasStatusLine = true;
        isStatusLine = true;
        headBytes = 0;
        line.setLength(0);
        head = head == null ? new DefaultHttpHeaders(false) : head;
    }

    private void acceptInHead(byte b) {
        headBytes++;
        if (headBytes > MAX_HEAD_BYTES) {
            endHead();
        } else if (b == '\n') {
            endLine();
        } else {
            line.append((char) (b & 0xff));
        }
    }

    private void endLine() {
        String text = line.toString();
        line.setLength(0);
        if (isStatusLine) {
            isStatusLine = false;
        } else if (!addHeader(text)) {
            endHead();
        }
    }

    private void endHead() {
        hasResponseHead |= test.isResponse(head, true);
        head = null;
    }

    /** Adds the header of a line; returns whether the line belongs to a head. */
    private boolean addHeader(String text) {
        boolean isContinuation = !text.isBlank() && Character.isWhitespace(text.charAt(0));
        int colon = text.indexOf(':');
        if (colon > 0 && !isContinuation) {
            head.add(text.substring(0, colon).trim(), text.substring(colon + 1).trim());
        }
        return isContinuation || colon > 0;
    }
}
