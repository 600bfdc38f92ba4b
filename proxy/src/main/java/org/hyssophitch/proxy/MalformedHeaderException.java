package org.hyssophitch.proxy;

/** A caller's header has a value that is not allowed. */
final class MalformedHeaderException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedHeaderException(String header, String allowed) {
        super(header + ": allowed is " + allowed);
    }
}
