package org.hyssophitch.wire.concurrent;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.jctools.queues.MpscArrayQueue;
import org.tinylog.Logger;

/**
 * One thread with one duty, fed by a bounded ring.
 *
 * <p>Thread-safe: any thread may offer events. The handler runs on the duty's thread only, from {@link #start} until
 * {@link #close}.
 *
 * @param <E> kind of events
 */
public final class EventThread<E> implements AutoCloseable {

    private static final int BATCH = 256;

    private final MpscArrayQueue<E> ring;
    private final Thread thread;
    private final Consumer<E> onEvent;
    private final Runnable onTick;
    private final LongSupplier tickMicros;
    private final AtomicBoolean isWaiting = new AtomicBoolean();
    private volatile boolean isClosed;

    /**
     * Creates a duty that does not run yet.
     *
     * @param name name of the thread
     * @param capacity number of events that the ring holds
     * @param tickMicros time in microseconds until the next tick, asked after each tick
     * @param onEvent handler of events
     * @param onTick called once per tick
     */
    public EventThread(String name, int capacity, LongSupplier tickMicros, Consumer<E> onEvent, Runnable onTick) {
        this.ring = new MpscArrayQueue<>(capacity);
        this.onEvent = onEvent;
        this.onTick = onTick;
        this.tickMicros = tickMicros;
        this.thread = Thread.ofPlatform().name(name).daemon().unstarted(this::run);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Adds an event; returns false when the ring is full, and the event is not taken then. */
    public boolean offer(E event) {
        boolean isTaken = ring.offer(event);
        if (isTaken && isWaiting.get() && isWaiting.compareAndSet(true, false)) {
            LockSupport.unpark(thread);
        }
        return isTaken;
    }

    /** Adds an event that must not get lost; waits while the ring is full. */
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
            int handled = ring.drain(this::handle, BATCH);
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                guard(onTick);
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
        if (ring.isEmpty() && nanos > 0) {
            LockSupport.parkNanos(nanos);
        }
        isWaiting.set(false);
    }

    private void handle(E event) {
        guard(() -> onEvent.accept(event));
    }

    /** A fault in one event must not end the duty; it is logged with its trace. */
    private void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            Logger.error(e, "duty {} failed on one event", thread.getName());
        }
    }
}
