package org.hyssophitch.core.store;

/** An object is to be written of a kind that this system only reads, which is a fault of the program. Immutable. */
public final class ReadOnlyKindException extends UnsupportedOperationException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param kind name of the kind
     */
    public ReadOnlyKindException(String kind) {
        super("objects of the kind " + kind + " are written by others only");
    }
}
