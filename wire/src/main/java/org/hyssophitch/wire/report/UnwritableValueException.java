package org.hyssophitch.wire.report;

/** Thrown for a value that can't be written as JSON, which only a fault in the program can bring about. Immutable. */
public final class UnwritableValueException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param value what can't be written
     * @param cause why
     */
    public UnwritableValueException(Object value, Throwable cause) {
        super("can't be written as JSON: " + value, cause);
    }
}
