package org.hyssophitch.core.store;

/**
 * One kind of object in the platform's store and the codec of its values. Implementations are stateless.
 *
 * @param <T> type of the decoded value
 */
public interface ObjectKind<T> {

    /** Returns the name of the kind, which is part of its URL. */
    String name();

    /**
     * Decodes a value.
     *
     * @throws InvalidObjectException if it can't be used
     */
    T decode(String objectName, byte[] value) throws InvalidObjectException;

    /**
     * Encodes a value.
     *
     * @throws ReadOnlyKindException if this system doesn't write objects of the kind
     */
    byte[] encode(T value);
}
