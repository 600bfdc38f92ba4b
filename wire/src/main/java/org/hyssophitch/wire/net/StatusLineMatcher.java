package org.hyssophitch.wire.net;

import java.nio.charset.StandardCharsets;

import io.netty.util.ByteProcessor;
import org.hyssophitch.core.call.AnswerPart;

/**
 * Matches the bytes of a status line, as they arrive, with the grammar of RFC 9112, section 4: version 1 of the
 * protocol, a status from 100 to 599, and a reason phrase without control characters, each behind a single space. One
 * line end before it is skipped, which some servers send behind a body. Not thread-safe.
 */
final class StatusLineMatcher implements ByteProcessor {

    /** Result of matching the bytes so far. */
    enum Result {
        /** The bytes may begin a status line. */
        BEGUN,
        /** The bytes hold a whole status line. */
        WHOLE,
        /** The bytes begin no status line. */
        BROKEN
    }

    private static final byte[] VERSION_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final int MINOR_VERSION = 7;
    private static final int SPACE_BEFORE_STATUS = MINOR_VERSION + 1;
    private static final int STATUS = SPACE_BEFORE_STATUS + 1;
    private static final int SPACE_BEHIND_STATUS = STATUS + 3;

    private Result result = Result.BEGUN;
    /** Number of bytes of the line that match. */
    private int matched;

    private boolean hasCarriageReturn;
    private boolean hasSkippedLineEnd;

    /** Prepares for the next line. */
    void reset() {
        result = Result.BEGUN;
        matched = 0;
        hasCarriageReturn = false;
        hasSkippedLineEnd = false;
    }

    Result result() {
        return result;
    }

    /** Returns the part in which the line is broken. */
    AnswerPart brokenPart() {
        if (matched < SPACE_BEFORE_STATUS) {
            return AnswerPart.VERSION;
        }
        return matched <= SPACE_BEHIND_STATUS ? AnswerPart.STATUS : AnswerPart.REASON;
    }

    /** Returns whether further bytes are needed to decide. */
    @Override
    public boolean process(byte b) {
        if (result == Result.BROKEN) {
            return false;
        }
        if (b == '\n') {
            endLine();
        } else if (hasCarriageReturn) {
            result = Result.BROKEN;
        } else if (b == '\r') {
            hasCarriageReturn = true;
        } else if (fits(b)) {
            matched++;
        } else {
            result = Result.BROKEN;
        }
        return result == Result.BEGUN;
    }

    private void endLine() {
        boolean isEmptyLine = matched == 0 && hasCarriageReturn;
        if (isEmptyLine && !hasSkippedLineEnd) {
            hasSkippedLineEnd = true;
            hasCarriageReturn = false;
        } else {
            result = hasCarriageReturn && matched >= SPACE_BEHIND_STATUS ? Result.WHOLE : Result.BROKEN;
        }
    }

    private boolean fits(byte b) {
        return switch (matched) {
            case MINOR_VERSION, STATUS + 1, STATUS + 2 -> b >= '0' && b <= '9';
            case SPACE_BEFORE_STATUS, SPACE_BEHIND_STATUS -> b == ' ';
            case STATUS -> b >= '1' && b <= '5';
            default -> matched < MINOR_VERSION ? b == VERSION_START[matched] : HttpGrammar.isText(b);
        };
    }
}
