package org.hyssophitch.core.store;

import java.util.Optional;

/**
 * One object as the store holds it. Immutable.
 *
 * @param name name of the object within its kind
 * @param revision revision of its last change
 * @param value its value; empty when it can't be read
 * @param <T> kind of value
 */
public record StoredObject<T>(String name, long revision, Optional<T> value) {}
