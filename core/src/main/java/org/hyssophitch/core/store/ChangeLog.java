package org.hyssophitch.core.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The objects of one kind and their latest changes, kept by a host that watches the store so that other hosts can watch
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
    private Map<String, StoredObject<T>> objects = Map.of();
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

    /** Returns the position up to which the log is complete. */
    public StorePosition position() {
        return end;
    }

    /** Returns all objects at {@link #position}. */
    public List<StoredObject<T>> objects() {
        return List.copyOf(objects.values());
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

    /** Returns whether the latest call to the store for this kind succeeded. */
    public boolean isConfirmed() {
        return isConfirmed;
    }

    /** Returns whether the store has recently answered a call for this kind. */
    public boolean isRecent(long nowMicros) {
        return isConfirmed && nowMicros - confirmedMicros <= MAX_AGE_MICROS;
    }

    /** Returns the time in microseconds at which an answer of the store or of a relay was last decoded; 0 before. */
    public long confirmedMicros() {
        return confirmedMicros;
    }

    /** Starts anew after the objects were listed. */
    void reset(Map<String, StoredObject<T>> listed, StorePosition position, long nowMicros) {
        objects = new HashMap<>(listed);
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
            changes.changes().forEach(this::apply);
            dropOldest();
        }
        confirm(nowMicros);
    }

    /** Records that a call to the store has failed, so that the log may be incomplete. */
    void invalidate() {
        isConfirmed = false;
        observer.run();
    }

    private void apply(StoreChanges.Change<T> change) {
        if (change.isDeleted()) {
            objects.remove(change.object().name());
        } else {
            objects.put(change.object().name(), change.object());
        }
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
