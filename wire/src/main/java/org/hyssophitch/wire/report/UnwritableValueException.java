package org.hyssophitch.wire.report;

/** Thrown for a value that can't be serialized as JSON; indicates a bug. Immutable. */
public final class UnwritableValueException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param value value or record component that can't be serialized
     * @param cause exception thrown by the serialization
     */
    public UnwritableValueException(Object value, Throwable cause) {
        super("can't serialize as JSON: " + value, cause);
    }
}
