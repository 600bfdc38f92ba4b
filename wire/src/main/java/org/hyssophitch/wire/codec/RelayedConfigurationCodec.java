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
 * Codec of relayed configurations. A change travels without its content, as a configuration may be too large for a
 * relay to send to many hosts in time. Stateless.
 */
public final class RelayedConfigurationCodec implements RelayCodec<Configuration> {

    @Override
    public byte[] encodeChanges(StoreChanges<Configuration> changes) {
        return RelayCodec.at(changes.position())
                .setMustList(!changes.changes().isEmpty())
                .build()
                .toByteArray();
    }

    @Override
    public Optional<StoreChanges<Configuration>> decodeChanges(byte[] bytes) throws InvalidProtocolBufferException {
        Wire.RelayedObjects m = Wire.RelayedObjects.parseFrom(bytes);
        return m.getMustList() ? Optional.empty() : Optional.of(new StoreChanges<>(List.of(), RelayCodec.position(m)));
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
        List<StoredObject<Configuration>> objects = m.getConfigurationsList().stream()
                .map(n -> new StoredObject<>(
                        n.getName(), 0, Optional.of(ConfigurationCodec.decode(n.getConfiguration()))))
                .toList();
        return new StorePage<>(objects, false, "", RelayCodec.position(m));
    }
}
