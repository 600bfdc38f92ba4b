package org.hyssophitch.core.team;

/** Thrown when the Java platform lacks the algorithm of key digests, which every conforming one provides. */
public final class MissingAlgorithmException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    public MissingAlgorithmException(String algorithm, Throwable cause) {
        super("missing digest algorithm: " + algorithm, cause);
    }
}
