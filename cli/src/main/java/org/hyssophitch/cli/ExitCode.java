package org.hyssophitch.cli;

/** Exit codes of the client, which scripts can rely on. */
public enum ExitCode {
    OK(0),
    /** Something that was asked for does not exist. */
    NOT_FOUND(1),
    /** The document or the settings have faults. */
    INVALID(2),
    /** Another document was accepted meanwhile. */
    CONFLICT(3),
    /** The platform or every agent gave no answer. */
    UNREACHABLE(4),
    /** Hosts lag behind or don't answer. */
    DEGRADED(5),
    /** The command line is wrong. */
    USAGE(64);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    public int code() {
        return code;
    }
}
