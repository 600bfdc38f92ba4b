package org.hyssophitch.wire.codec;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StorePage;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.wire.generated.Wire;

/** Codec of relayed evacuations of availability zones. Stateless. */
public final class RelayedEvacuationCodec implements RelayCodec<String> {

    @Override
    public byte[] encodeChanges(StoreChanges<String> changes) {
        Wire.RelayedObjects.Builder b = RelayCodec.at(changes.position());
        changes.changes().forEach(c -> b.addEvacuatedZones(notice(c.object(), c.isDeleted())));
        return b.build().toByteArray();
    }

    @Override
    public Optional<StoreChanges<String>> decodeChanges(byte[] bytes) throws InvalidProtocolBufferException {
        Wire.RelayedObjects m = Wire.RelayedObjects.parseFrom(bytes);
        List<Change<String>> changes = m.getEvacuatedZonesList().stream()
                .map(n -> new Change<>(object(n), n.getEnded()))
                .toList();
        return m.getMustList() ? Optional.empty() : Optional.of(new StoreChanges<>(changes, RelayCodec.position(m)));
    }

    @Override
    public byte[] encodeObjects(List<StoredObject<String>> objects, StorePosition position) {
        Wire.RelayedObjects.Builder b = RelayCodec.at(position);
        objects.forEach(o -> b.addEvacuatedZones(notice(o, false)));
        return b.build().toByteArray();
    }

    @Override
    public StorePage<String> decodeObjects(byte[] bytes) throws InvalidProtocolBufferException {
        Wire.RelayedObjects m = Wire.RelayedObjects.parseFrom(bytes);
        List<StoredObject<String>> objects = m.getEvacuatedZonesList().stream()
                .map(RelayedEvacuationCodec::object)
                .toList();
        return new StorePage<>(objects, false, "", RelayCodec.position(m));
    }

    private static Wire.ZoneNotice notice(StoredObject<String> o, boolean isEnded) {
        return Wire.ZoneNotice.newBuilder().setZone(o.name()).setEnded(isEnded).build();
    }

    private static StoredObject<String> object(Wire.ZoneNotice n) {
        return new StoredObject<>(n.getZone(), 0, Optional.of(n.getZone()));
    }
}
