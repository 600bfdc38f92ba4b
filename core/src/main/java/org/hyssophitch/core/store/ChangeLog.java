package org.hyssophitch.core.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The latest changes to the objects of one kind, kept by a host that watches the store so that other hosts can watch
 * through it. Not thread-safe; owned by the thread of its {@link KindWatcher}.
 *
 * @param <T> type of the decoded value
 */
public final class ChangeLog<T> {

    /** Maximum number of changes kept; a host that is further behind lists the objects. */
    private static final int MAX_CHANGES = 512;
    /** Age in microseconds of the last answer from the store up to which the log counts as current. */
    private static final long MAX_AGE_MICROS = 1_700_000;

    private final Deque<StoreChanges<T>> batches = new ArrayDeque<>();
    private StorePosition start = StorePosition.NONE;
    private StorePosition end = StorePosition.NONE;
    private boolean isConfirmed;
    private long confirmedMicros;
    private int size;
    private Runnable observer = () -> {};

    /** Sets the observer, which is called after each change of the log or of its being current. */
    public void setObserver(Runnable value) {
        observer = value;
    }

    /** Returns the changes since a position; empty if the log doesn't go back that far or is of another epoch. */
    public Optional<StoreChanges<T>> since(StorePosition position) {
        if (!position.isSameEpoch(end) || position.revision() < start.revision()) {
            return Optional.empty();
        }
        List<StoreChanges.Change<T>> changes = batches.stream()
                .filter(b -> b.position().revision() > position.revision())
                .flatMap(b -> b.changes().stream())
                .toList();
        return Optional.of(new StoreChanges<>(changes, end));
    }

    /** Returns whether the store has recently confirmed that the log is complete. */
    public boolean isCurrent(long nowMicros) {
        return isConfirmed && nowMicros - confirmedMicros <= MAX_AGE_MICROS;
    }

    /** Starts anew after the objects were listed. */
    void reset(StorePosition position, long nowMicros) {
        batches.clear();
        size = 0;
        start = position;
        end = position;
        confirm(nowMicros);
    }

    /** Appends what a watch returned, which may be no change at all. */
    void append(StoreChanges<T> changes, long nowMicros) {
        end = end.max(changes.position());
        if (!changes.changes().isEmpty()) {
            batches.add(new StoreChanges<>(new ArrayList<>(changes.changes()), end));
            size += changes.changes().size();
            dropOldest();
        }
        confirm(nowMicros);
    }

    /** Records that a call to the store has failed, so that the log may be incomplete. */
    void invalidate() {
        isConfirmed = false;
        observer.run();
    }

    private void dropOldest() {
        while (size > MAX_CHANGES) {
            StoreChanges<T> oldest = batches.poll();
            size -= oldest.changes().size();
            start = oldest.position();
        }
    }

    private void confirm(long nowMicros) {
        isConfirmed = true;
        confirmedMicros = nowMicros;
        observer.run();
    }
}
