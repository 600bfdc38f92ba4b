package org.hyssophitch.wire.yaml;

/**
 * One fault of a YAML file. Immutable.
 *
 * @param kind type of fault
 * @param path path of the value from the root, as in {@code services[0].name}
 * @param line line of the value, from 1
 * @param found what stands there
 * @param allowed what may stand there
 */
public record Fault(Kind kind, String path, int line, String found, String allowed) {

    /** Types of faults. */
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

    /** Returns the fault as one line for people. */
    public String describe() {
        return String.format("line %d: %s: %s: found %s, allowed %s", line, path, kind, found, allowed);
    }
}
