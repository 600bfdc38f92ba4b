package org.hyssophitch.wire.net;

import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.FastThreadLocalThread;

/** Creates and shuts down the event loops that the transports of a process share. Stateless. */
public final class EventLoops {

    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 0;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    private EventLoops() {}

    /**
     * Creates a group of event loops.
     *
     * @param threads number of event loops, each with its own thread
     */
    public static EventLoopGroup create(int threads) {
        return new MultiThreadIoEventLoopGroup(threads, Transports.ioHandlers());
    }

    /**
     * Creates a group of event loops as {@link #create(int)} does.
     *
     * @param threads number of event loops, each with its own thread
     * @param onEnd called on the thread of an event loop when it ends, by {@link #close} or by an error that the event
     *     loop doesn't survive, such as a lack of memory
     */
    public static EventLoopGroup create(int threads, Runnable onEnd) {
        return create(threads, onEnd, Transports.ioHandlers());
    }

    static EventLoopGroup create(int threads, Runnable onEnd, IoHandlerFactory handlers) {
        ThreadFactory factory = loop -> new FastThreadLocalThread(() -> runThen(loop, onEnd), "event-loop");
        return new MultiThreadIoEventLoopGroup(threads, factory, handlers);
    }

    private static void runThen(Runnable loop, Runnable onEnd) {
        try {
            loop.run();
        } finally {
            onEnd.run();
        }
    }

    /** Runs a task on an event loop and blocks until its result is available; must not be called on that event loop. */
    public static <T> T call(EventLoop loop, Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Runs a task on an event loop and blocks until it has completed; must not be called on that event loop. */
    public static void run(EventLoop loop, Runnable task) {
        call(loop, Executors.callable(task));
    }

    /** Shuts down event loops and closes their connections. */
    public static void close(EventLoopGroup group) {
        group.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }
}
