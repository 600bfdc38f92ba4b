package org.hyssophitch.wire.net;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/** Creates and ends the event loops that a process's transports share. Stateless. */
public final class EventLoops {

    private static final long QUIET_MILLIS = 0;
    private static final long TIMEOUT_MILLIS = 1_000;

    private EventLoops() {}

    /**
     * Creates event loops.
     *
     * @param threads number of threads
     */
    public static EventLoopGroup create(int threads) {
        return new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /** Ends event loops, with the connections that they serve. */
    public static void close(EventLoopGroup group) {
        group.shutdownGracefully(QUIET_MILLIS, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }
}
