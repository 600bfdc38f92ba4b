package org.hyssophitch.core.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StoredObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Removal of servers, immediate or after a grace period, when registrations are deleted or expire. */
public class ServerRegistryTest {

    private static final long SECOND = 1_000_000;

    private ServerRegistry registry;

    @BeforeMethod
    public void setUp() {
        registry = new ServerRegistry();
    }

    @Test
    public void removesServerImmediatelyWhenItsRegistrationIsDeleted() {
        registry.onListed(objects(8), 0);
        registry.onChanged(List.of(deleted("i-0")), SECOND);
        assertEquals(names(), expected(1, 8));
    }

    @Test
    public void reportsDrainingServer() {
        registry.onListed(objects(2), 0);
        registry.onChanged(List.of(new Change<>(object("i-0", true), false)), SECOND);
        assertTrue(registry.byService().get("s").stream()
                .anyMatch(r -> r.server().name().equals("i-0") && r.server().draining()));
    }

    @Test
    public void keepsServersExpiredDuringOutageForRenewalPeriod() {
        registry.onListed(objects(3), 0);
        registry.onStoreRecovered(10 * SECOND);
        registry.onListed(objects(1), 10 * SECOND);
        assertEquals(names(), expected(0, 3));
        registry.onChanged(List.of(new Change<>(object("i-1", false), false)), 11 * SECOND);
        assertEquals(registry.nextExpiryMicros(), 12 * SECOND);
        assertTrue(registry.expire(12 * SECOND));
        assertEquals(names(), expected(0, 2));
    }

    @Test
    public void removesDrainingServerThatExpiresDuringOutage() {
        Map<String, StoredObject<RegisteredServer>> all = objects(3);
        all.put("i-2", object("i-2", true));
        registry.onListed(all, 0);
        registry.onStoreRecovered(10 * SECOND);
        registry.onListed(objects(2), 10 * SECOND);
        assertEquals(names(), expected(0, 2));
    }

    @Test
    public void keepsServersForGracePeriodWhenMostExpireTogether() {
        registry.onListed(objects(6), 0);
        registry.onChanged(
                IntStream.range(0, 5).mapToObj(i -> deleted("i-" + i)).toList(), SECOND);
        assertEquals(names(), expected(0, 6));
        assertTrue(
                registry.nextExpiryMicros() < 3 * SECOND,
                "grace period exceeds the time for which leaving servers may get work");
        registry.expire(registry.nextExpiryMicros());
        assertEquals(names(), expected(5, 6));
    }

    @Test
    public void malformedRegistrationYieldsNoServerAndDoesNotAffectOthers() {
        Map<String, StoredObject<RegisteredServer>> all = objects(2);
        all.put("malformed", new StoredObject<>("malformed", 1, Optional.empty()));
        registry.onListed(all, 0);
        assertEquals(names(), expected(0, 2));
        registry.onChanged(List.of(new Change<>(new StoredObject<>("i-0", 2, Optional.empty()), false)), SECOND);
        assertEquals(names(), expected(1, 2));
    }

    /** The copy was made before the server announced that it leaves. */
    @Test
    public void restoredStoreDoesNotRevertADrain() {
        registry.onListed(Map.of("i-0", object("i-0", false, 5), "i-1", object("i-1", false, 5)), 0);
        registry.onChanged(List.of(new Change<>(object("i-0", true, 8), false)), SECOND);
        registry.onStoreRestored(2 * SECOND);
        registry.onListed(Map.of("i-0", object("i-0", false, 6), "i-1", object("i-1", false, 7)), 2 * SECOND);
        assertTrue(isDraining("i-0"));
        assertEquals(names(), expected(0, 2));
    }

    /** A removed server is back in the copy; only a statement that it made after the restore proves that it lives. */
    @Test
    public void restoredStoreReturnsARemovedServerOnlyWhenItLives() {
        registry.onListed(Map.of("i-0", object("i-0", false, 5), "i-1", object("i-1", false, 5)), 0);
        registry.onChanged(List.of(deleted("i-0"), deleted("i-1")), SECOND);
        registry.onStoreRestored(2 * SECOND);
        registry.onListed(Map.of("i-0", object("i-0", false, 9), "i-1", object("i-1", false, 9)), 2 * SECOND);
        assertEquals(names(), expected(0, 0));
        registry.onListed(Map.of("i-0", object("i-0", false, 9), "i-1", object("i-1", false, 10)), 4 * SECOND);
        assertEquals(names(), expected(1, 2));
        assertTrue(registry.awaitsProof());
        registry.onChanged(List.of(deleted("i-0")), 5 * SECOND);
        assertFalse(registry.awaitsProof());
    }

    @Test
    public void serverThatCountsAnewAtAnotherAddressIsAnotherProcess() {
        registry.onListed(Map.of("i-0", object("i-0", true, 50)), 0);
        BackendServer moved = new BackendServer("i-0", "10.0.0.2", 80, "z", 3, 220, false, "i-0");
        StoredObject<RegisteredServer> again =
                new StoredObject<>("i-0", 2, Optional.of(new RegisteredServer("s", moved, 0, 1)));
        registry.onChanged(List.of(new Change<>(again, false)), SECOND);
        assertFalse(isDraining("i-0"));
    }

    @Test
    public void keepsServersMissingFromTheRestoredStoreUntilTheyHadTimeToRegisterAgain() {
        registry.onListed(objects(3), 0);
        registry.onStoreRestored(10 * SECOND);
        registry.onListed(objects(1), 10 * SECOND);
        assertEquals(names(), expected(0, 3));
        registry.expire(12 * SECOND);
        assertEquals(names(), expected(0, 1));
    }

    @DataProvider
    public Object[][] momentsOfNews() {
        return new Object[][] {{9.5}, {10.5}};
    }

    /** Another host has reached the store all the while, so no registration expired by an outage of the store. */
    @Test(dataProvider = "momentsOfNews")
    public void hostThatWasCutOffUsesServersThatLeftMeanwhile(double heardSeconds) {
        registry.onListed(objects(8), 0);
        long heard = (long) (heardSeconds * SECOND);
        if (heard < 10 * SECOND) {
            registry.onStoreReachedSince(SECOND, heard);
        }
        registry.onStoreRecovered(10 * SECOND);
        registry.onListed(objects(6), 10 * SECOND);
        if (heard > 10 * SECOND) {
            registry.onStoreReachedSince(SECOND, heard);
        }
        registry.expire(Math.max(heard, 10 * SECOND));
        assertEquals(names(), expected(0, 6));
    }

    /** What another host says doesn't shorten the time that an outage of the store itself, or a restore, gives. */
    @Test
    public void keepsServersWhileTheStoreHasJustReturnedForAllHosts() {
        registry.onListed(objects(8), 0);
        registry.onStoreReachedSince(SECOND, 2 * SECOND);
        registry.onStoreRecovered(10 * SECOND);
        registry.onListed(objects(6), 10 * SECOND);
        registry.onStoreReachedSince(9 * SECOND, 10 * SECOND);
        assertEquals(registry.nextExpiryMicros(), 11 * SECOND);
        assertEquals(names(), expected(0, 8));
    }

    @Test
    public void keepsServersMissingFromTheRestoredStoreWhateverOtherHostsSay() {
        registry.onListed(objects(3), 0);
        registry.onStoreRestored(10 * SECOND);
        registry.onListed(objects(1), 10 * SECOND);
        registry.onStoreReachedSince(SECOND, 10 * SECOND);
        assertEquals(registry.nextExpiryMicros(), 12 * SECOND);
    }

    private boolean isDraining(String name) {
        return registry.byService().get("s").stream()
                .anyMatch(r -> r.server().name().equals(name) && r.server().draining());
    }

    private TreeSet<String> names() {
        return registry.byService().values().stream()
                .flatMap(List::stream)
                .map(r -> r.server().name())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static TreeSet<String> expected(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> "i-" + i).collect(Collectors.toCollection(TreeSet::new));
    }

    private static Map<String, StoredObject<RegisteredServer>> objects(int count) {
        return Stream.iterate(0, i -> i + 1)
                .limit(count)
                .map(i -> object("i-" + i, false))
                .collect(Collectors.toMap(StoredObject::name, o -> o, (a, b) -> a, HashMap::new));
    }

    private static Change<RegisteredServer> deleted(String name) {
        return new Change<>(object(name, false), true);
    }

    private static StoredObject<RegisteredServer> object(String name, boolean draining) {
        return object(name, draining, 0);
    }

    private static StoredObject<RegisteredServer> object(String name, boolean draining, long sequence) {
        BackendServer server = new BackendServer(name, "10.0.0.1", 80, "z", 3, 220, draining, name);
        return new StoredObject<>(name, 1, Optional.of(new RegisteredServer("s", server, 0, sequence)));
    }
}
