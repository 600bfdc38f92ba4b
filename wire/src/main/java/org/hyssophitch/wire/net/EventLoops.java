package org.hyssophitch.wire.net;

import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
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

    /** Does something on an event loop and waits for its result; must not be called on that loop. */
    public static <T> T call(EventLoop loop, Callable<T> step) {
        return loop.submit(step).syncUninterruptibly().getNow();
    }

    /** Does something on an event loop and waits until it is done; must not be called on that loop. */
    public static void run(EventLoop loop, Runnable step) {
        call(loop, Executors.callable(step));
    }

    /** Ends event loops, with the connections that they serve. */
    public static void close(EventLoopGroup group) {
        group.shutdownGracefully(QUIET_MILLIS, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }
}
