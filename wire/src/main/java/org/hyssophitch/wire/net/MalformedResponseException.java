package org.hyssophitch.wire.net;

import org.hyssophitch.core.call.AnswerPart;

/** Thrown for a response that breaks the grammar of the protocol. Has no stack trace, as any peer can cause it. */
public final class MalformedResponseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final AnswerPart part;

    MalformedResponseException(AnswerPart part) {
        this(part, null);
    }

    /**
     * Creates an exception.
     *
     * @param cause what the decoder found; may be null
     */
    MalformedResponseException(AnswerPart part, Throwable cause) {
        super("malformed " + part, cause, false, false);
        this.part = part;
    }

    /** Returns the broken part of the response. */
    public AnswerPart part() {
        return part;
    }
}
