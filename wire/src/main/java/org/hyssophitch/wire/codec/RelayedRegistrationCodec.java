package org.hyssophitch.wire.codec;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.control.RegistrationNotice;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StorePage;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.wire.generated.Wire;

/** Codec of relayed registrations of backend servers, which travel with their content. Stateless. */
public final class RelayedRegistrationCodec implements RelayCodec<RegisteredServer> {

    @Override
    public byte[] encodeChanges(StoreChanges<RegisteredServer> changes) {
        List<RegistrationNotice> notices = changes.changes().stream()
                .map(c -> notice(
                        c.object().name(),
                        c.isDeleted() ? Optional.empty() : c.object().value()))
                .toList();
        return encode(notices, changes.position());
    }

    @Override
    public Optional<StoreChanges<RegisteredServer>> decodeChanges(byte[] bytes) throws InvalidProtocolBufferException {
        Wire.RelayedObjects m = Wire.RelayedObjects.parseFrom(bytes);
        List<Change<RegisteredServer>> changes = objects(m).stream()
                .map(o -> new Change<>(o, o.value().isEmpty()))
                .toList();
        return m.getMustList() ? Optional.empty() : Optional.of(new StoreChanges<>(changes, RelayCodec.position(m)));
    }

    @Override
    public byte[] encodeObjects(List<StoredObject<RegisteredServer>> objects, StorePosition position) {
        return encode(objects.stream().map(o -> notice(o.name(), o.value())).toList(), position);
    }

    @Override
    public StorePage<RegisteredServer> decodeObjects(byte[] bytes) throws InvalidProtocolBufferException {
        Wire.RelayedObjects m = Wire.RelayedObjects.parseFrom(bytes);
        return new StorePage<>(objects(m), false, "", RelayCodec.position(m));
    }

    private static byte[] encode(List<RegistrationNotice> notices, StorePosition position) {
        return RelayCodec.at(position)
                .addAllRegistrations(RegistrationCodec.encodeNotices(notices))
                .build()
                .toByteArray();
    }

    private static RegistrationNotice notice(String name, Optional<RegisteredServer> value) {
        return new RegistrationNotice(name, value, 0);
    }

    /** A relay of an earlier release checks no values. */
    private static boolean isValid(RegisteredServer r) {
        return RegistrationRules.invalidField(r).isEmpty();
    }

    private static List<StoredObject<RegisteredServer>> objects(Wire.RelayedObjects m) {
        return RegistrationCodec.decodeNotices(m.getRegistrationsList()).stream()
                .map(n -> new StoredObject<>(n.server(), 0, n.registration().filter(RelayedRegistrationCodec::isValid)))
                .toList();
    }
}
