package org.hyssophitch.proxy;

/** Thrown when the Java runtime lacks a digest algorithm that every Java runtime must provide. Immutable. */
final class MissingDigestException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    MissingDigestException(Throwable cause) {
        super(cause);
    }
}
