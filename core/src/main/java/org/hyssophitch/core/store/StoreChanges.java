package org.hyssophitch.core.store;

import java.util.List;

/**
 * Changes to the objects of one kind. Immutable.
 *
 * @param changes the changes, oldest first
 * @param position position of the store up to which the changes are complete
 * @param <T> type of the decoded value
 */
public record StoreChanges<T>(List<Change<T>> changes, StorePosition position) {

    /**
     * One change.
     *
     * @param object the object after the change
     * @param isDeleted whether the object was deleted
     */
    public record Change<T>(StoredObject<T> object, boolean isDeleted) {}
}
