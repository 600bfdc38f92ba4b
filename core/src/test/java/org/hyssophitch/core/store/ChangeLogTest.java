package org.hyssophitch.core.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.hyssophitch.core.store.StoreChanges.Change;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** What a relay can tell other hosts about changes. */
public class ChangeLogTest {

    private static final long SECOND = 1_000_000;

    private ChangeLog<String> log;

    @BeforeMethod
    public void setUp() {
        log = new ChangeLog<>();
        log.reset(Map.of("a", object("a")), at(10), 0);
    }

    @Test
    public void returnsTheChangesSinceAPosition() {
        append(12, "b");
        append(15, "c", "d");
        assertEquals(names(log.since(at(10))), List.of("b", "c", "d"));
        assertEquals(names(log.since(at(12))), List.of("c", "d"));
        assertEquals(names(log.since(at(15))), List.of());
        assertEquals(log.since(at(12)).orElseThrow().position(), at(15));
    }

    /** A position within a batch gets the whole batch: its changes are in order and end in the same state. */
    @Test
    public void returnsWholeBatches() {
        append(15, "b", "c");
        assertEquals(names(log.since(at(13))), List.of("b", "c"));
    }

    @Test
    public void cannotTellWhatLiesBeforeItsStartOrInAnotherEpoch() {
        assertTrue(log.since(at(9)).isEmpty());
        assertTrue(log.since(new StorePosition(2, 10)).isEmpty());
    }

    @Test
    public void dropsTheOldestChangesWhenItIsFull() {
        IntStream.rangeClosed(11, 700).forEach(i -> append(i, "n" + i));
        assertTrue(log.since(at(10)).isEmpty());
        assertEquals(names(log.since(at(699))), List.of("n700"));
        assertTrue(names(log.since(at(300))).size() == 400);
    }

    /** A host that kept each version of a large configuration ran out of memory. */
    @Test
    public void keepsOnlyTheLastVersionOfAnObject() {
        for (int i = 1; i <= 200; i++) {
            StoredObject<String> version = new StoredObject<>("a", 10 + i, Optional.of("version " + i));
            log.append(new StoreChanges<>(List.of(new Change<>(version, false)), at(10 + i)), 0);
        }
        assertEquals(contents(log.since(at(10))), List.of("version 200"));
        assertEquals(contents(log.since(at(209))), List.of("version 200"));
        assertEquals(contents(log.since(at(210))), List.of());
    }

    /** Objects with long names must not make the history exceed its share of a small heap. */
    @Test
    public void boundsItsHistoryInBytes() {
        String prefix = "n".repeat(1_000);
        IntStream.rangeClosed(11, 211).forEach(i -> append(i, prefix + i));
        assertTrue(log.since(at(10)).isEmpty());
        assertEquals(names(log.since(at(210))), List.of(prefix + 211));
    }

    /** A host that isn't a relay would hold what nobody asks for. */
    @Test
    public void keepsNoHistoryForNobody() {
        append(12, "b");
        Change<String> change = new Change<>(object("c"), false);
        log.applyWithoutHistory(new StoreChanges<>(List.of(change), at(14)), 0);
        assertTrue(log.since(at(12)).isEmpty());
        assertEquals(names(log.since(at(14))), List.of());
        assertEquals(log.objects().size(), 3);
        append(15, "d");
        assertEquals(names(log.since(at(14))), List.of("d"));
    }

    /** A host that missed both must not take a server that is gone for a live one, or the other way round. */
    @Test
    public void tellsWhetherAnObjectWasDeletedOrWrittenLast() {
        append(12, "b", "c");
        log.append(new StoreChanges<>(List.of(new Change<>(object("b"), true)), at(13)), 0);
        log.append(new StoreChanges<>(List.of(new Change<>(object("c"), true)), at(14)), 0);
        append(15, "c");
        List<Change<String>> changes = log.since(at(10)).orElseThrow().changes();
        assertEquals(changes.stream().map(c -> c.object().name()).toList(), List.of("b", "c"));
        assertEquals(changes.stream().map(Change::isDeleted).toList(), List.of(true, false));
    }

    @Test
    public void keepsTheObjects() {
        append(12, "b");
        log.append(new StoreChanges<>(List.of(new Change<>(object("a"), true)), at(13)), 0);
        assertEquals(log.objects().stream().map(StoredObject::name).toList(), List.of("b"));
    }

    /** Silence proves nothing: a relay that is cut off from the store hears of no changes either. */
    @Test
    public void isCurrentOnlyWhileTheStoreAnswers() {
        assertTrue(log.isRecent(SECOND));
        assertFalse(log.isRecent(2 * SECOND));
        log.append(new StoreChanges<>(List.of(), at(10)), 2 * SECOND);
        assertTrue(log.isRecent(2 * SECOND));
        log.invalidate();
        assertFalse(log.isRecent(2 * SECOND));
        assertFalse(log.isConfirmed());
    }

    private void append(long revision, String... names) {
        List<Change<String>> changes =
                List.of(names).stream().map(n -> new Change<>(object(n), false)).toList();
        log.append(new StoreChanges<>(changes, at(revision)), 0);
    }

    private static List<String> names(Optional<StoreChanges<String>> changes) {
        return changes.orElseThrow().changes().stream()
                .map(c -> c.object().name())
                .toList();
    }

    private static List<String> contents(Optional<StoreChanges<String>> changes) {
        return changes.orElseThrow().changes().stream()
                .map(c -> c.object().value().orElseThrow())
                .toList();
    }

    private static StoredObject<String> object(String name) {
        return new StoredObject<>(name, 0, Optional.of(name));
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }
}
