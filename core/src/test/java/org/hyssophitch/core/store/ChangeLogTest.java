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

    private static StoredObject<String> object(String name) {
        return new StoredObject<>(name, 0, Optional.of(name));
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }
}
