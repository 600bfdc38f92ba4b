package org.hyssophitch.wire.yaml;

import java.util.List;

/**
 * Result of reading a YAML file. Every result is immutable.
 *
 * @param <T> type of the value
 */
public sealed interface YamlResult<T> {

    /** The file is valid. */
    record Valid<T>(T value) implements YamlResult<T> {}

    /** The file is invalid; none of its values are used. */
    record Invalid<T>(List<Fault> faults) implements YamlResult<T> {}
}
