package org.hyssophitch.wire.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Bounds what one connection may have handled before the others of its event loop get their turn, so that a peer that
 * sends faster than its bytes are decoded slows only itself down. Stateless.
 */
public final class FairReads {

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2_048;
    /** Maximum number of bytes that a connection reads in one turn of the event loop. */
    private static final int MAX_READ_BYTES = 16_384;

    private FairReads() {}

    /** Returns a value for {@link io.netty.channel.ChannelOption#RECVBUF_ALLOCATOR}. */
    public static RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1);
    }
}
