package org.hyssophitch.core.store;

import java.util.List;

/**
 * Changes of the objects of one kind. Immutable.
 *
 * @param changes the changes, oldest first
 * @param revision revision of the store up to which they are complete
 * @param <T> kind of value
 */
public record StoreChanges<T>(List<Change<T>> changes, long revision) {

    /**
     * One change.
     *
     * @param object the object after it
     * @param isDeleted whether the object is gone
     */
    public record Change<T>(StoredObject<T> object, boolean isDeleted) {}
}
