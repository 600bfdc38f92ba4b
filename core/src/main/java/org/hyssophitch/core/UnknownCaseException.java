package org.hyssophitch.core;

/** Thrown for a value that a switch doesn't handle; indicates a bug. Immutable. */
public final class UnknownCaseException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param value the unhandled value
     */
    public UnknownCaseException(Object value) {
        super("unhandled value: " + value);
    }
}
