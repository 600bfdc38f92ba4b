package org.hyssophitch.wire.codec;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StorePage;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.wire.generated.Wire;

/**
 * Codec of what entry hosts relay to each other about one kind of objects of the store. Implementations are stateless.
 *
 * @param <T> type of the decoded value
 */
public sealed interface RelayCodec<T>
        permits RelayedConfigurationCodec, RelayedEvacuationCodec, RelayedRegistrationCodec {

    /** Encodes the answer to a watch. */
    byte[] encodeChanges(StoreChanges<T> changes);

    /**
     * Decodes the answer to a watch; empty if the objects must be listed.
     *
     * @throws InvalidProtocolBufferException if the bytes are malformed
     */
    Optional<StoreChanges<T>> decodeChanges(byte[] bytes) throws InvalidProtocolBufferException;

    /** Encodes all objects of the kind. */
    byte[] encodeObjects(List<StoredObject<T>> objects, StorePosition position);

    /**
     * Decodes all objects of the kind, as a single page.
     *
     * @throws InvalidProtocolBufferException if the bytes are malformed, or an earlier release may have left out fields
     */
    StorePage<T> decodeObjects(byte[] bytes) throws InvalidProtocolBufferException;

    /** Format of relayed objects; raised with each field that a host must not miss. */
    int FORMAT = 1;

    /** Returns a message with a position and no objects. */
    static Wire.RelayedObjects.Builder at(StorePosition p) {
        return Wire.RelayedObjects.newBuilder()
                .setFormat(FORMAT)
                .setEpoch(p.epoch())
                .setRevision(p.revision());
    }

    /** Returns the position in a message. */
    static StorePosition position(Wire.RelayedObjects m) {
        return new StorePosition(m.getEpoch(), m.getRevision());
    }
}
