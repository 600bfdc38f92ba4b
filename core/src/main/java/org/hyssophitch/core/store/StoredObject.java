package org.hyssophitch.core.store;

import java.util.Optional;

/**
 * One object in the store. Immutable.
 *
 * @param name name of the object within its kind
 * @param revision revision of its last change
 * @param value decoded value; empty when it is missing or malformed
 * @param <T> type of the decoded value
 */
public record StoredObject<T>(String name, long revision, Optional<T> value) {}
