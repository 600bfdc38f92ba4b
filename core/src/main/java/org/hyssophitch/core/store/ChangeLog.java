package org.hyssophitch.core.store;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The objects of one kind and their latest changes, kept by a host that watches the store so that other hosts can watch
 * through it. Not thread-safe; owned by the thread of its {@link KindWatcher}.
 *
 * <p>The history holds names and revisions only; the content is that of the current objects, because a host that has
 * missed several changes of an object needs the last one. So its size doesn't depend on that of the objects.
 *
 * @param <T> type of the decoded value
 */
public final class ChangeLog<T> {

    /** Maximum size in bytes of the history; a host that is further behind lists the objects. */
    private static final int MAX_HISTORY_BYTES = 65_536;
    /** Approximate size in bytes of an entry of the history without its name. */
    private static final int ENTRY_BYTES = 120;
    /** Age in microseconds of the last answer from the store up to which the log counts as current. */
    private static final long MAX_AGE_MICROS = 1_700_000;

    /** The last change of an object. */
    private record LastChange(long revision, boolean isDeleted) {}

    /** The last change of each object by name, oldest first. */
    private final Map<String, LastChange> history = new LinkedHashMap<>();

    private Map<String, StoredObject<T>> objects = Map.of();
    private StorePosition start = StorePosition.NONE;
    private StorePosition end = StorePosition.NONE;
    private boolean isConfirmed;
    private long confirmedMicros;
    private int historyBytes;
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
        List<StoreChanges.Change<T>> changes = history.entrySet().stream()
                .filter(e -> e.getValue().revision() > position.revision())
                .map(e -> change(e.getKey(), e.getValue()))
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

    /** Starts anew after the objects were listed. */
    void reset(Map<String, StoredObject<T>> listed, StorePosition position, long nowMicros) {
        objects = new HashMap<>(listed);
        end = position;
        clearHistory();
        confirm(nowMicros);
    }

    /** Appends what a watch returned, which may be no change at all. */
    void append(StoreChanges<T> changes, long nowMicros) {
        end = end.max(changes.position());
        changes.changes().forEach(c -> {
            apply(c);
            remember(c);
        });
        dropOldest();
        confirm(nowMicros);
    }

    /** Applies what a watch returned without keeping a history, as no other host watches through this one. */
    void applyWithoutHistory(StoreChanges<T> changes, long nowMicros) {
        end = end.max(changes.position());
        changes.changes().forEach(this::apply);
        clearHistory();
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

    private void remember(StoreChanges.Change<T> change) {
        String name = change.object().name();
        LastChange earlier = history.remove(name);
        historyBytes += earlier == null ? entryBytes(name) : 0;
        history.put(name, new LastChange(end.revision(), change.isDeleted()));
    }

    private void dropOldest() {
        Iterator<Map.Entry<String, LastChange>> oldest = history.entrySet().iterator();
        while (historyBytes > MAX_HISTORY_BYTES) {
            Map.Entry<String, LastChange> e = oldest.next();
            historyBytes -= entryBytes(e.getKey());
            start = new StorePosition(end.epoch(), e.getValue().revision());
            oldest.remove();
        }
    }

    private void clearHistory() {
        history.clear();
        historyBytes = 0;
        start = end;
    }

    private StoreChanges.Change<T> change(String name, LastChange last) {
        StoredObject<T> object =
                last.isDeleted() ? new StoredObject<>(name, last.revision(), Optional.empty()) : objects.get(name);
        return new StoreChanges.Change<>(object, last.isDeleted());
    }

    private static int entryBytes(String name) {
        return ENTRY_BYTES + name.length();
    }

    private void confirm(long nowMicros) {
        isConfirmed = true;
        confirmedMicros = nowMicros;
        observer.run();
    }
}
