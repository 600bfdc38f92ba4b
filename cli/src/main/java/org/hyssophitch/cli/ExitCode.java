package org.hyssophitch.cli;

/** Exit codes of the client. Scripts depend on the numbers. */
public enum ExitCode {
    OK(0),
    /** The requested item does not exist. */
    NOT_FOUND(1),
    /** The document or the settings are invalid. */
    INVALID(2),
    /** Another document was accepted in the meantime. */
    CONFLICT(3),
    /** The platform or every agent is unavailable, or the outcome of a write is unknown. */
    UNREACHABLE(4),
    /** An entry host has an old configuration, has no proxy or does not respond. */
    DEGRADED(5),
    /** The command line is invalid. */
    USAGE(64);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    public int code() {
        return code;
    }
}
