package org.hyssophitch.wire.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.stream.Stream;

import org.hyssophitch.wire.generated.Wire;

/**
 * Divides a message between agents into datagrams that a network delivers in one piece, and that hosts of earlier
 * builds read, whatever it contains. Stateless.
 */
final class DatagramDivider {

    /** Size in bytes up to which parts share a datagram, so that it isn't fragmented. */
    static final int MAX_SHARED_BYTES = 1_400;
    /** Size in bytes of the largest datagram that a host of an earlier build reads. */
    static final int MAX_BYTES = 2_048;

    private DatagramDivider() {}

    /**
     * Returns the datagrams of a message. Each tells its sender; the first one has the heartbeat and what else there is
     * only once.
     *
     * @param onDropped receives the size in bytes of a part that fits into no datagram
     */
    static List<Wire.AgentDatagram> divide(Wire.AgentDatagram message, IntConsumer onDropped) {
        if (message.getSerializedSize() <= MAX_SHARED_BYTES) {
            return List.of(message);
        }
        Wire.AgentDatagram empty = Wire.AgentDatagram.newBuilder()
                .setClock(message.getClock())
                .setSender(message.getSender())
                .build();
        List<Wire.AgentDatagram> divided = new ArrayList<>();
        Wire.AgentDatagram current = withoutParts(message);
        for (Wire.AgentDatagram part : parts(message)) {
            int size = part.getSerializedSize();
            if (empty.getSerializedSize() + size > MAX_BYTES) {
                onDropped.accept(size);
                continue;
            }
            if (current != empty && current.getSerializedSize() + size > MAX_SHARED_BYTES) {
                divided.add(current);
                current = empty;
            }
            current = current.toBuilder().mergeFrom(part).build();
        }
        divided.add(current);
        return divided;
    }

    private static Wire.AgentDatagram withoutParts(Wire.AgentDatagram message) {
        return message.toBuilder()
                .clearMembers()
                .clearLoads()
                .clearLeaving()
                .clearSuspicions()
                .clearRegistrations()
                .clearLimits()
                .clearQuotaAsks()
                .clearQuotaGrants()
                .clearClearances()
                .build();
    }

    /** Returns a message for each element of a list, which can be merged with others. */
    private static List<Wire.AgentDatagram> parts(Wire.AgentDatagram m) {
        return Stream.of(
                        m.getMembersList().stream().map(x -> part().addMembers(x)),
                        m.getLoadsList().stream().map(x -> part().addLoads(x)),
                        m.getLeavingList().stream().map(x -> part().addLeaving(x)),
                        m.getSuspicionsList().stream().map(x -> part().addSuspicions(x)),
                        m.getRegistrationsList().stream().map(x -> part().addRegistrations(x)),
                        m.getLimitsList().stream().map(x -> part().addLimits(x)),
                        m.getQuotaAsksList().stream().map(x -> part().addQuotaAsks(x)),
                        m.getQuotaGrantsList().stream().map(x -> part().addQuotaGrants(x)),
                        m.getClearancesList().stream().map(x -> part().addClearances(x)))
                .flatMap(s -> s)
                .map(Wire.AgentDatagram.Builder::build)
                .toList();
    }

    private static Wire.AgentDatagram.Builder part() {
        return Wire.AgentDatagram.newBuilder();
    }
}
