package org.hyssophitch.wire.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Lets a socket read datagrams of any size into one buffer, which is used again once a datagram has been handled. Not
 * thread-safe; used by one channel whose handler keeps no datagram.
 */
final class DatagramBuffer extends DefaultMaxMessagesRecvByteBufAllocator {

    /** Size in bytes above any datagram's. */
    private static final int BYTES = 65_536;

    private ByteBuf buffer;

    DatagramBuffer() {
        // The next datagram is read into the buffer after this one has been handled.
        super(1);
    }

    @Override
    @SuppressWarnings("deprecation")
    public RecvByteBufAllocator.Handle newHandle() {
        return new ReusingHandle();
    }

    /** Frees the buffer; called once the channel has been closed. */
    void release() {
        if (buffer != null) {
            buffer.release();
            buffer = null;
        }
    }

    private final class ReusingHandle extends MaxMessageHandle {

        @Override
        public int guess() {
            return BYTES;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            if (buffer == null) {
                buffer = allocator.ioBuffer(BYTES, BYTES);
            }
            return buffer.retainedDuplicate().clear();
        }
    }
}
