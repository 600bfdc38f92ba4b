package org.hyssophitch.core;

/** Thrown where a value has no case in a switch, which only a fault in the program can bring about. Immutable. */
public final class UnknownCaseException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param value the value that no case covers
     */
    public UnknownCaseException(Object value) {
        super("no case for " + value);
    }
}
