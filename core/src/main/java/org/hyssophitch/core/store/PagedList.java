package org.hyssophitch.core.store;

import java.util.HashMap;
import java.util.Map;

/**
 * Collects the pages of one list of a kind's objects. Not thread-safe; owned by a {@link KindWatcher}.
 *
 * <p>The first page is current. The store may answer the other ones from a view that is seconds old, which costs a
 * tenth of a current page. The changes since the oldest page then bring the list up to date.
 *
 * @param <T> type of the decoded value
 */
final class PagedList<T> {

    private final boolean mustBeCurrent;
    private final Map<String, StoredObject<T>> objects = new HashMap<>();
    private StorePosition first = StorePosition.NONE;
    private StorePosition oldest = StorePosition.NONE;
    private boolean isEmpty = true;

    /**
     * Creates a list without pages.
     *
     * @param mustBeCurrent whether each page has to be current
     */
    PagedList(boolean mustBeCurrent) {
        this.mustBeCurrent = mustBeCurrent;
    }

    /** Returns whether the page that begins after a name may be seconds old. */
    boolean mayBeStale(String after) {
        return !mustBeCurrent && !after.isEmpty();
    }

    /** Adds a page; returns whether it is of the same epoch as the first one. */
    boolean add(StorePage<T> page) {
        if (isEmpty) {
            first = page.position();
            oldest = page.position();
            isEmpty = false;
        }
        if (!page.position().isSameEpoch(first)) {
            return false;
        }
        oldest = page.position().revision() < oldest.revision() ? page.position() : oldest;
        page.items().forEach(o -> objects.put(o.name(), o));
        return true;
    }

    /** Returns whether a page is older than the first one. */
    boolean isStale() {
        return oldest.revision() < first.revision();
    }

    /**
     * Returns the position from which changes complete the list: objects of one page may have changed while others were
     * read.
     */
    StorePosition position() {
        return oldest;
    }

    /** Applies all changes since {@link #position}; returns whether the list is now as current as its first page. */
    boolean catchUp(StoreChanges<T> changes) {
        StorePosition end = changes.position();
        if (!end.isSameEpoch(first) || end.revision() < first.revision()) {
            return false;
        }
        changes.changes().forEach(this::apply);
        oldest = end;
        return true;
    }

    Map<String, StoredObject<T>> objects() {
        return Map.copyOf(objects);
    }

    private void apply(StoreChanges.Change<T> change) {
        if (change.isDeleted()) {
            objects.remove(change.object().name());
        } else {
            objects.put(change.object().name(), change.object());
        }
    }
}
