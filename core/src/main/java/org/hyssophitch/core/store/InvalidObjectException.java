package org.hyssophitch.core.store;

/** Thrown when the content of an object can't be used. The message quotes none of it. */
public final class InvalidObjectException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param problem what is wrong, without any of the content
     */
    public InvalidObjectException(String problem) {
        super(problem);
    }
}
