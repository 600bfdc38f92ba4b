package org.hyssophitch.wire.codec;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.StoredObject;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** What a relay sends arrives unchanged. */
public class RelayCodecTest {

    private static final StorePosition POSITION = new StorePosition(3, 41);

    private final RelayCodec<RegisteredServer> registrations = new RelayedRegistrationCodec();
    private final RelayCodec<Configuration> configurations = new RelayedConfigurationCodec();

    @Test
    public void carriesChangesOfRegistrations() throws Exception {
        Change<RegisteredServer> changed = new Change<>(stored("i-1", Optional.of(server())), false);
        Change<RegisteredServer> deleted = new Change<>(stored("i-2", Optional.empty()), true);
        StoreChanges<RegisteredServer> changes = new StoreChanges<>(List.of(changed, deleted), POSITION);
        assertEquals(registrations.decodeChanges(registrations.encodeChanges(changes)), Optional.of(changes));
    }

    /** The end of an evacuation travels as well, so that not every host has to read the store. */
    @Test
    public void carriesChangesOfEvacuations() throws Exception {
        RelayCodec<String> evacuations = new RelayedEvacuationCodec();
        Change<String> begun = new Change<>(new StoredObject<>("z1", 0, Optional.of("z1")), false);
        Change<String> ended = new Change<>(new StoredObject<>("z2", 0, Optional.of("z2")), true);
        StoreChanges<String> changes = new StoreChanges<>(List.of(begun, ended), POSITION);
        assertEquals(evacuations.decodeChanges(evacuations.encodeChanges(changes)), Optional.of(changes));
        byte[] bytes = evacuations.encodeObjects(List.of(begun.object()), POSITION);
        assertEquals(evacuations.decodeObjects(bytes).items(), List.of(begun.object()));
        assertEquals(evacuations.decodeObjects(bytes).position(), POSITION);
    }

    @Test
    public void carriesAllRegistrations() throws Exception {
        List<StoredObject<RegisteredServer>> objects =
                List.of(stored("i-1", Optional.of(server())), stored("malformed", Optional.empty()));
        byte[] bytes = registrations.encodeObjects(objects, POSITION);
        assertEquals(registrations.decodeObjects(bytes).items(), objects);
        assertEquals(registrations.decodeObjects(bytes).position(), POSITION);
    }

    /** A relay of an earlier release passes on what it read, such as a port that no connection can be opened to. */
    @Test
    public void registrationWithAnUnusableValueNamesNoServer() throws Exception {
        BackendServer b = new BackendServer("i-2@77", "10.0.0.1", 70_000, "z", 3, 220, false, "i-2");
        StoredObject<RegisteredServer> unusable = stored("i-2", Optional.of(new RegisteredServer("s", b, 0, 1)));
        StoredObject<RegisteredServer> good = stored("i-1", Optional.of(server()));
        byte[] listed = registrations.encodeObjects(List.of(unusable, good), POSITION);
        assertEquals(registrations.decodeObjects(listed).items(), List.of(stored("i-2", Optional.empty()), good));
        byte[] changed = registrations.encodeChanges(
                new StoreChanges<>(List.of(new Change<>(unusable, false), new Change<>(good, false)), POSITION));
        assertEquals(
                registrations.decodeChanges(changed).orElseThrow().changes(),
                List.of(new Change<>(stored("i-2", Optional.empty()), true), new Change<>(good, false)));
    }

    @Test
    public void carriesAConfiguration() throws Exception {
        List<StoredObject<Configuration>> objects = List.of(stored("main", Optional.of(configuration(3))));
        byte[] bytes = configurations.encodeObjects(objects, POSITION);
        assertEquals(configurations.decodeObjects(bytes).items(), objects);
        StoreChanges<Configuration> changes =
                new StoreChanges<>(List.of(new Change<>(objects.get(0), false)), POSITION);
        assertEquals(configurations.decodeChanges(configurations.encodeChanges(changes)), Optional.of(changes));
    }

    /** A relay on a thin link could not send a large configuration to many hosts in time. */
    @Test
    public void leavesALargeConfigurationToTheStore() throws Exception {
        StoredObject<Configuration> large = stored("main", Optional.of(configuration(400)));
        StoreChanges<Configuration> changes = new StoreChanges<>(List.of(new Change<>(large, false)), POSITION);
        byte[] bytes = configurations.encodeChanges(changes);
        assertTrue(bytes.length < 100, bytes.length + " bytes");
        assertEquals(configurations.decodeChanges(bytes), Optional.empty());
    }

    private static RegisteredServer server() {
        return new RegisteredServer(
                "s", new BackendServer("i-1@77", "10.0.0.1", 80, "z", 3, 220, true, "i-1"), 1_500, 12);
    }

    private static <T> StoredObject<T> stored(String name, Optional<T> value) {
        return new StoredObject<>(name, 0, value);
    }

    private static Configuration configuration(int routes) {
        return new Configuration(
                7,
                "r7",
                1,
                ProbeBudget.DEFAULT,
                AddressRule.DEFAULT,
                List.of(Service.builder("s").connectionLimit(260).build()),
                IntStream.range(0, routes)
                        .mapToObj(i -> new Route(
                                "r" + i,
                                "h.example",
                                "/p" + i + '/',
                                i % 2 == 0,
                                1_500,
                                600,
                                2,
                                1,
                                List.of(new Route.Destination("s", 3))))
                        .toList(),
                new CallerLimits(8_192, 1_000_000, 2_000, 5_000));
    }
}
