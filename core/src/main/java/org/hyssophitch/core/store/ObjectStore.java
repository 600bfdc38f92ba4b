package org.hyssophitch.core.store;

import java.util.function.Consumer;

/**
 * Asynchronous client of the platform's object store. Calls don't block; each result is passed to its consumer exactly
 * once, on the calling thread.
 */
public interface ObjectStore {

    /**
     * Lists a page of objects of a kind.
     *
     * @param after name after which the page begins; empty for the first page
     * @param allowStale whether the result may be a few seconds old, which costs less
     */
    <T> void list(ObjectKind<T> kind, String after, boolean allowStale, Consumer<StoreResult<StorePage<T>>> onResult);

    /**
     * Waits for changes to objects of a kind.
     *
     * @param since position after which changes are returned
     * @param waitMillis maximum time in milliseconds to wait for a change
     */
    <T> void watch(
            ObjectKind<T> kind, StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<T>>> onResult);

    /** Creates an object. */
    <T> void create(ObjectKind<T> kind, String name, T value, Consumer<StoreResult<StoredObject<T>>> onResult);

    /**
     * Replaces an object if it is still at the given revision.
     *
     * @param revision expected revision of the object
     */
    <T> void replace(
            ObjectKind<T> kind, String name, T value, long revision, Consumer<StoreResult<StoredObject<T>>> onResult);

    /**
     * Deletes an object if it is still at the given revision.
     *
     * @param revision expected revision of the object; 0 for any
     */
    <T> void delete(ObjectKind<T> kind, String name, long revision, Consumer<StoreResult<Boolean>> onResult);
}
