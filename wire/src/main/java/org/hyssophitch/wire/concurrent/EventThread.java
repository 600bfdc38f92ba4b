package org.hyssophitch.wire.concurrent;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.jctools.queues.MpscArrayQueue;
import org.tinylog.Logger;

/**
 * Thread that processes events from a bounded queue and runs a periodic task.
 *
 * <p>Thread-safe: any thread may add events. The event handler and the periodic task run on this thread only, from
 * {@link #start} until {@link #close}.
 *
 * @param <E> type of the events
 */
public final class EventThread<E> implements AutoCloseable {

    private static final int MAX_EVENTS_PER_BATCH = 256;

    private final MpscArrayQueue<E> queue;
    private final Thread thread;
    private final Consumer<E> onEvent;
    private final Runnable onTick;
    private final LongSupplier tickMicros;
    private final AtomicBoolean isWaiting = new AtomicBoolean();
    private volatile boolean isClosed;

    /**
     * Creates a thread without starting it.
     *
     * @param name name of the thread
     * @param capacity capacity of the queue in events
     * @param tickMicros supplies the delay in microseconds until the next run of the periodic task; evaluated after
     *     each run and after each batch of events, which may bring the next run forward
     * @param onEvent event handler
     * @param onTick periodic task
     */
    public EventThread(String name, int capacity, LongSupplier tickMicros, Consumer<E> onEvent, Runnable onTick) {
        this.queue = new MpscArrayQueue<>(capacity);
        this.onEvent = onEvent;
        this.onTick = onTick;
        this.tickMicros = tickMicros;
        this.thread = Thread.ofPlatform().name(name).daemon().unstarted(this::run);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Adds an event to the queue; returns false, without adding it, when the queue is full. */
    public boolean offer(E event) {
        boolean isAdded = queue.offer(event);
        if (isAdded && isWaiting.get() && isWaiting.compareAndSet(true, false)) {
            LockSupport.unpark(thread);
        }
        return isAdded;
    }

    /** Adds an event to the queue; blocks while the queue is full, unless the thread is closed. */
    public void put(E event) {
        while (!offer(event) && !isClosed) {
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(100));
        }
    }

    @Override
    public void close() {
        isClosed = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        long nextTick = System.nanoTime();
        while (!isClosed) {
            int handled = queue.drain(this::handle, MAX_EVENTS_PER_BATCH);
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                runLoggingFailure(onTick);
                nextTick = now + TimeUnit.MICROSECONDS.toNanos(tickMicros.getAsLong());
            }
            if (handled > 0) {
                nextTick = Math.min(nextTick, now + TimeUnit.MICROSECONDS.toNanos(tickMicros.getAsLong()));
            } else {
                await(nextTick - now);
            }
        }
    }

    private void await(long nanos) {
        isWaiting.set(true);
        if (queue.isEmpty() && nanos > 0) {
            LockSupport.parkNanos(nanos);
        }
        isWaiting.set(false);
    }

    private void handle(E event) {
        runLoggingFailure(() -> onEvent.accept(event));
    }

    /** Logs an exception with its stack trace, because one failed event must not end the thread. */
    private void runLoggingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "thread {} failed to process an event or periodic task", thread.getName());
        }
    }
}
