package org.hyssophitch.wire.codec;

import java.io.ByteArrayOutputStream;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hyssophitch.core.store.RelayedView;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.wire.generated.Wire;

/** Codec of what a relay states in each answer about its views. Stateless. */
public final class RelayedViewCodec {

    private RelayedViewCodec() {}

    /** Adds views to an encoded answer; a message that is appended to another is merged with it. */
    public static byte[] append(byte[] answer, List<RelayedView> views) {
        Wire.RelayedObjects.Builder b = Wire.RelayedObjects.newBuilder();
        views.forEach(v -> b.addViews(Wire.RelayedView.newBuilder()
                .setKind(v.kind())
                .setEpoch(v.position().epoch())
                .setRevision(v.position().revision())
                .setCompleteMillis(v.completeMillis())));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(answer);
        out.writeBytes(b.build().toByteArray());
        return out.toByteArray();
    }

    /**
     * Returns the views in an encoded answer; empty if a relay of an earlier release encoded it.
     *
     * @throws InvalidProtocolBufferException if the bytes are malformed
     */
    public static List<RelayedView> decode(byte[] answer) throws InvalidProtocolBufferException {
        return Wire.RelayedObjects.parseFrom(answer).getViewsList().stream()
                .map(v -> new RelayedView(
                        v.getKind(), new StorePosition(v.getEpoch(), v.getRevision()), v.getCompleteMillis()))
                .toList();
    }
}
