package org.hyssophitch.core.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Source of one kind of objects whose answers the test gives. Not thread-safe. */
final class ScriptedSource implements ChangeSource<String> {

    private final Deque<Consumer<StoreResult<StorePage<String>>>> lists = new ArrayDeque<>();
    private final Deque<Consumer<StoreResult<StoreChanges<String>>>> watches = new ArrayDeque<>();
    private int listCalls;

    @Override
    public void list(String after, boolean allowStale, Consumer<StoreResult<StorePage<String>>> onResult) {
        listCalls++;
        lists.add(onResult);
    }

    @Override
    public void watch(StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<String>>> onResult) {
        watches.add(onResult);
    }

    @Override
    public void readChanges(StorePosition since, Consumer<StoreResult<StoreChanges<String>>> onResult) {
        watches.add(onResult);
    }

    int listCalls() {
        return listCalls;
    }

    int pendingWatches() {
        return watches.size();
    }

    /** Answers the oldest list with objects whose content is their name. */
    void completeList(long revision, String... names) {
        List<StoredObject<String>> items = Stream.of(names)
                .map(n -> new StoredObject<>(n, revision, Optional.of(n)))
                .toList();
        lists.remove().accept(new StoreResult.Done<>(new StorePage<>(items, false, "", at(revision))));
    }

    /** Answers the oldest watch with a change of one object. */
    void completeWatch(long revision, String name, String content) {
        StoredObject<String> object = new StoredObject<>(name, revision, Optional.of(content));
        List<StoreChanges.Change<String>> changes = List.of(new StoreChanges.Change<>(object, false));
        watches.remove().accept(new StoreResult.Done<>(new StoreChanges<>(changes, at(revision))));
    }

    /** Loses the oldest list: it is never answered. */
    void loseList() {
        lists.remove();
    }

    /** Loses the oldest watch: it is never answered. */
    void loseWatch() {
        watches.remove();
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }
}
