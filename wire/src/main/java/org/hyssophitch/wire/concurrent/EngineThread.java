package org.hyssophitch.wire.concurrent;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * The duty that runs one of the core's engines: events go in through the ring, actions go to an executor.
 *
 * <p>Thread-safe; the engine is touched on the duty's thread only, from {@link #start} until {@link #close}.
 *
 * @param <G> kind of engine
 * @param <V> kind of events
 * @param <A> kind of actions
 */
public final class EngineThread<G, V, A> implements AutoCloseable {

    /** Element of the ring. */
    private sealed interface Work<G, V> {

        /** An event for the engine. */
        record Event<G, V>(V event) implements Work<G, V> {}

        /** A question to the engine, answered on its thread. */
        record Query<G, V>(Consumer<G> reader) implements Work<G, V> {}
    }

    private final G engine;
    private final BiFunction<G, V, List<A>> handler;
    private final Consumer<A> executor;
    private final EventThread<Work<G, V>> thread;

    /**
     * Creates a duty that does not run yet.
     *
     * @param name name of the thread
     * @param capacity number of events that the ring holds
     * @param engine the engine
     * @param handler gives the engine an event
     * @param executor carries out an action
     * @param tickMicros time in microseconds until the next tick
     * @param onTick called with the engine once per tick
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

    /** Adds an event; returns false when the ring is full, and the event is not taken then. */
    public boolean offer(V event) {
        return thread.offer(new Work.Event<>(event));
    }

    /** Adds an event that must not get lost; waits while the ring is full. */
    public void put(V event) {
        thread.put(new Work.Event<>(event));
    }

    /** Asks the engine on its own thread; waits while the ring is full. */
    public <T> CompletableFuture<T> query(Function<G, T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        thread.put(new Work.Query<>(e -> answer.complete(question.apply(e))));
        return answer;
    }

    /** Gives the engine an event at once; to be called on the duty's thread only, as from a tick. */
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
