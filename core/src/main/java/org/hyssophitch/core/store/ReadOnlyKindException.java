package org.hyssophitch.core.store;

/** Thrown on an attempt to write an object of a kind that this system only reads; indicates a bug. Immutable. */
public final class ReadOnlyKindException extends UnsupportedOperationException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param kind name of the kind
     */
    public ReadOnlyKindException(String kind) {
        super("objects of kind " + kind + " are read-only");
    }
}
