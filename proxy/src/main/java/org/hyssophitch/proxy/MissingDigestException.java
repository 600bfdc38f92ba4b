package org.hyssophitch.proxy;

/** Thrown when the Java platform lacks a digest that each one has to have. Immutable. */
final class MissingDigestException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    MissingDigestException(Throwable cause) {
        super(cause);
    }
}
