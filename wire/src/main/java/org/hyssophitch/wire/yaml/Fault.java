package org.hyssophitch.wire.yaml;

/**
 * Fault found in a YAML file. Immutable.
 *
 * @param kind kind of the fault
 * @param path path of the value from the root, as in {@code services[0].name}
 * @param line line number of the value, starting at 1
 * @param found description of the value found
 * @param allowed description of the allowed values
 */
public record Fault(Kind kind, String path, int line, String found, String allowed) {

    /** Kinds of faults. */
    public enum Kind {
        MALFORMED,
        UNKNOWN_KEY,
        MISSING_KEY,
        WRONG_TYPE,
        OUT_OF_RANGE,
        NOT_ALLOWED,
        DUPLICATE,
        CONTRADICTION
    }

    /** Formats the fault as a single line for users. */
    public String describe() {
        return String.format("line %d: %s: %s: found %s, allowed %s", line, path, kind, found, allowed);
    }
}
