package org.hyssophitch.wire.yaml;

import java.util.List;

/**
 * Result of reading a YAML file. Every result is immutable.
 *
 * @param <T> kind of value read
 */
public sealed interface YamlResult<T> {

    /** The file has no fault. */
    record Valid<T>(T value) implements YamlResult<T> {}

    /** The file has faults; nothing of it is used. */
    record Invalid<T>(List<Fault> faults) implements YamlResult<T> {}
}
