package org.hyssophitch.proxy;

/** Thrown when a header of a caller's request has an invalid value. */
final class MalformedHeaderException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedHeaderException(String header, String allowed) {
        super(header + ": allowed is " + allowed);
    }
}
