package org.hyssophitch.wire.codec;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StorePage;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.wire.generated.Wire;

/**
 * Codec of relayed configurations. The content of a large change is left out, as a relay could not send it to many
 * hosts in time over a thin link; the hosts then read it from the store. Stateless.
 */
public final class RelayedConfigurationCodec implements RelayCodec<Configuration> {

    /**
     * Maximum size in bytes of a change that is sent with its content. A relay serves up to 64 hosts, and a link of
     * 10 Mbit/s sends this to all of them within a second.
     */
    private static final int MAX_RELAYED_BYTES = 16_384;

    @Override
    public byte[] encodeChanges(StoreChanges<Configuration> changes) {
        List<StoredObject<Configuration>> objects =
                changes.changes().stream().map(StoreChanges.Change::object).toList();
        boolean isDeletion = changes.changes().stream().anyMatch(StoreChanges.Change::isDeleted);
        byte[] whole = encodeObjects(objects, changes.position());
        return isDeletion || whole.length > MAX_RELAYED_BYTES
                ? RelayCodec.at(changes.position()).setMustList(true).build().toByteArray()
                : whole;
    }

    @Override
    public Optional<StoreChanges<Configuration>> decodeChanges(byte[] bytes) throws InvalidProtocolBufferException {
        Wire.RelayedObjects m = Wire.RelayedObjects.parseFrom(bytes);
        if (m.getMustList() || isIncomplete(m)) {
            return Optional.empty();
        }
        List<StoreChanges.Change<Configuration>> changes = objects(m).stream()
                .map(o -> new StoreChanges.Change<>(o, false))
                .toList();
        return Optional.of(new StoreChanges<>(changes, RelayCodec.position(m)));
    }

    @Override
    public byte[] encodeObjects(List<StoredObject<Configuration>> objects, StorePosition position) {
        Wire.RelayedObjects.Builder b = RelayCodec.at(position);
        objects.forEach(o -> o.value()
                .ifPresent(c -> b.addConfigurations(Wire.NamedConfiguration.newBuilder()
                        .setName(o.name())
                        .setConfiguration(ConfigurationCodec.encode(c)))));
        return b.build().toByteArray();
    }

    @Override
    public StorePage<Configuration> decodeObjects(byte[] bytes) throws InvalidProtocolBufferException {
        Wire.RelayedObjects m = Wire.RelayedObjects.parseFrom(bytes);
        if (isIncomplete(m)) {
            throw new InvalidProtocolBufferException("configuration of an earlier release");
        }
        return new StorePage<>(objects(m), false, "", RelayCodec.position(m));
    }

    /** Returns whether a relay of an earlier release may have left out the teams or other fields. */
    private static boolean isIncomplete(Wire.RelayedObjects m) {
        return m.getFormat() < RelayCodec.FORMAT && m.getConfigurationsCount() > 0;
    }

    private static List<StoredObject<Configuration>> objects(Wire.RelayedObjects m) {
        return m.getConfigurationsList().stream()
                .map(n -> new StoredObject<>(
                        n.getName(), 0, Optional.of(ConfigurationCodec.decode(n.getConfiguration()))))
                .toList();
    }
}
