package org.hyssophitch.wire.concurrent;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Thread that runs one engine of module {@code core}: passes queued events to the engine, and the resulting actions to
 * an executor.
 *
 * <p>Thread-safe: the engine is accessed on this thread only, from {@link #start} until {@link #close}.
 *
 * @param <G> type of the engine
 * @param <V> type of the events
 * @param <A> type of the actions
 */
public final class EngineThread<G, V, A> implements AutoCloseable {

    /** Element of the queue. */
    private sealed interface Work<G, V> {

        /** Event to pass to the engine. */
        record Event<G, V>(V event) implements Work<G, V> {}

        /** Read access to the engine, run on its thread. */
        record Query<G, V>(Consumer<G> reader) implements Work<G, V> {}
    }

    private final G engine;
    private final BiFunction<G, V, List<A>> handler;
    private final Consumer<A> executor;
    private final EventThread<Work<G, V>> thread;

    /**
     * Creates a thread without starting it.
     *
     * @param name name of the thread
     * @param capacity capacity of the queue in events and queries
     * @param engine engine, which no other thread may access
     * @param handler passes an event to the engine and returns the resulting actions
     * @param executor executes an action
     * @param tickMicros supplies the delay in microseconds until the next run of the periodic task
     * @param onTick periodic task
     */
    public EngineThread(
            String name,
            int capacity,
            G engine,
            BiFunction<G, V, List<A>> handler,
            Consumer<A> executor,
            LongSupplier tickMicros,
            Consumer<G> onTick) {
        this.engine = engine;
        this.handler = handler;
        this.executor = executor;
        this.thread = new EventThread<>(name, capacity, tickMicros, this::handle, () -> onTick.accept(engine));
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Adds an event to the queue; returns false, without adding it, when the queue is full. */
    public boolean offer(V event) {
        return thread.offer(new Work.Event<>(event));
    }

    /** Adds an event to the queue; blocks while the queue is full. */
    public void put(V event) {
        thread.put(new Work.Event<>(event));
    }

    /** Evaluates a function of the engine on the engine's thread; blocks while the queue is full. */
    public <T> CompletableFuture<T> query(Function<G, T> reader) {
        CompletableFuture<T> result = new CompletableFuture<>();
        thread.put(new Work.Query<>(e -> result.complete(reader.apply(e))));
        return result;
    }

    /** Passes an event to the engine immediately; must be called on this thread, as by the periodic task. */
    public void handleNow(V event) {
        handler.apply(engine, event).forEach(executor);
    }

    @Override
    public void close() {
        thread.close();
    }

    private void handle(Work<G, V> work) {
        switch (work) {
            case Work.Event<G, V> e -> handleNow(e.event());
            case Work.Query<G, V> q -> q.reader().accept(engine);
        }
    }
}
