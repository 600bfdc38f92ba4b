package org.hyssophitch.core.store;

import java.util.Optional;

/**
 * One kind of objects in the platform's store, and the form of their values. Implementations are stateless.
 *
 * @param <T> value of an object
 */
public interface ObjectKind<T> {

    /** Returns the name of the kind. */
    String name();

    /** Reads a value; empty when it can't be read. */
    Optional<T> decode(String objectName, byte[] value);

    /** Writes a value. */
    byte[] encode(T value);
}
