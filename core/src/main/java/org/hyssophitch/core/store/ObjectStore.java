package org.hyssophitch.core.store;

import java.util.function.Consumer;

/**
 * The platform's store. Calls return at once; each result goes to its consumer once, on the caller's own thread.
 */
public interface ObjectStore {

    /**
     * Lists objects of a kind.
     *
     * @param after name after which to begin; empty for the first page
     * @param allowStale whether an answer may be seconds old, which costs less
     */
    <T> void list(ObjectKind<T> kind, String after, boolean allowStale, Consumer<StoreResult<StorePage<T>>> onResult);

    /**
     * Waits for changes of a kind.
     *
     * @param revision revision of the store after which changes are wanted
     * @param waitMillis longest time in milliseconds to wait for one
     */
    <T> void watch(ObjectKind<T> kind, long revision, int waitMillis, Consumer<StoreResult<StoreChanges<T>>> onResult);

    /** Creates an object. */
    <T> void create(ObjectKind<T> kind, String name, T value, Consumer<StoreResult<StoredObject<T>>> onResult);

    /**
     * Replaces an object that is still at a revision.
     *
     * @param revision revision that the object must have
     */
    <T> void replace(
            ObjectKind<T> kind, String name, T value, long revision, Consumer<StoreResult<StoredObject<T>>> onResult);

    /**
     * Deletes an object that is still at a revision.
     *
     * @param revision revision that the object must have; 0 for any
     */
    <T> void delete(ObjectKind<T> kind, String name, long revision, Consumer<StoreResult<Boolean>> onResult);
}
