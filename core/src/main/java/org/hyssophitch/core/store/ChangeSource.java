package org.hyssophitch.core.store;

import java.util.function.Consumer;

/**
 * Where a watcher reads one kind of objects: the store, or another host that watches it. Calls don't block; each result
 * is passed to its consumer exactly once, on the calling thread.
 *
 * @param <T> type of the decoded value
 */
public interface ChangeSource<T> {

    /** Wait in milliseconds of a call that returns at once, with changes or without. */
    int NO_WAIT_MILLIS = 1;

    /**
     * Lists a page of the objects.
     *
     * @param after name after which the page begins; empty for the first page
     * @param allowStale whether the page may be a few seconds old
     */
    void list(String after, boolean allowStale, Consumer<StoreResult<StorePage<T>>> onResult);

    /**
     * Waits for changes.
     *
     * @param since position after which changes are returned
     * @param waitMillis maximum time in milliseconds to wait for a change
     */
    void watch(StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<T>>> onResult);

    /**
     * Reads the changes up to now from the store itself.
     *
     * @param since position after which changes are returned
     */
    void readChanges(StorePosition since, Consumer<StoreResult<StoreChanges<T>>> onResult);

    /** Returns the store as the source of a kind of objects. */
    static <T> ChangeSource<T> of(ObjectStore store, ObjectKind<T> kind) {
        return new ChangeSource<>() {
            @Override
            public void list(String after, boolean allowStale, Consumer<StoreResult<StorePage<T>>> onResult) {
                store.list(kind, after, allowStale, onResult);
            }

            @Override
            public void watch(StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<T>>> onResult) {
                store.watch(kind, since, waitMillis, onResult);
            }

            @Override
            public void readChanges(StorePosition since, Consumer<StoreResult<StoreChanges<T>>> onResult) {
                store.watch(kind, since, NO_WAIT_MILLIS, onResult);
            }
        };
    }
}
