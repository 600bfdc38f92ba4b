package org.hyssophitch.core.store;

import java.util.function.Consumer;

/**
 * Where a watcher reads one kind of objects: the store, or another host that watches it. Calls don't block; each result
 * is passed to its consumer exactly once, on the calling thread.
 *
 * @param <T> type of the decoded value
 */
public interface ChangeSource<T> {

    /**
     * Lists a page of the objects.
     *
     * @param after name after which the page begins; empty for the first page
     */
    void list(String after, Consumer<StoreResult<StorePage<T>>> onResult);

    /**
     * Waits for changes.
     *
     * @param since position after which changes are returned
     * @param waitMillis maximum time in milliseconds to wait for a change
     */
    void watch(StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<T>>> onResult);

    /** Returns the store as the source of a kind of objects. */
    static <T> ChangeSource<T> of(ObjectStore store, ObjectKind<T> kind) {
        return new ChangeSource<>() {
            @Override
            public void list(String after, Consumer<StoreResult<StorePage<T>>> onResult) {
                store.list(kind, after, false, onResult);
            }

            @Override
            public void watch(StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<T>>> onResult) {
                store.watch(kind, since, waitMillis, onResult);
            }
        };
    }
}
