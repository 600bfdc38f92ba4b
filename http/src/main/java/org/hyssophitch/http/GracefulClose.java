package org.hyssophitch.http;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;

/**
 * Closes a connection without cutting off what was written to it: shuts down the output once it is flushed, and then
 * reads for a while, because unread bytes would turn the close into a reset that discards the end of a response.
 * Stateless; confined to the event loop of the connection.
 */
final class GracefulClose {

    /** Time in milliseconds for which a connection still reads after its output was shut down. */
    private static final long LINGER_MILLIS = 500;

    private GracefulClose() {}

    /**
     * Starts to close a connection.
     *
     * @param maxStallMillis time in milliseconds after which a caller that reads nothing is cut off
     */
    static void start(Channel channel, long maxStallMillis) {
        if (!(channel instanceof SocketChannel socket) || !socket.isActive()) {
            channel.close();
            return;
        }
        channel.config().setAutoRead(true);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> linger(socket));
        closeWhenStalled(channel, unsentBytes(channel), maxStallMillis);
    }

    /** Returns the number of bytes that were written to a connection and not taken by its socket. */
    static long unsentBytes(Channel channel) {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes();
    }

    private static void linger(SocketChannel socket) {
        socket.shutdownOutput();
        socket.eventLoop().schedule(() -> socket.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void closeWhenStalled(Channel channel, long unsentBefore, long maxStallMillis) {
        if (unsentBefore == 0) {
            return;
        }
        channel.eventLoop()
                .schedule(
                        () -> {
                            long unsent = unsentBytes(channel);
                            if (unsent < unsentBefore) {
                                closeWhenStalled(channel, unsent, maxStallMillis);
                            } else {
                                channel.close();
                            }
                        },
                        maxStallMillis,
                        TimeUnit.MILLISECONDS);
    }
}
