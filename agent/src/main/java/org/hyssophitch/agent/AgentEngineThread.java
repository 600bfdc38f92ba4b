package org.hyssophitch.agent;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import org.hyssophitch.core.control.AgentAction;
import org.hyssophitch.core.control.AgentEngine;
import org.hyssophitch.core.control.AgentEvent;
import org.hyssophitch.wire.concurrent.EngineThread;
import org.hyssophitch.wire.concurrent.WallClock;

/**
 * Runs the agent engine on a thread of its own. Thread-safe; runs from {@link #start} until {@link #close}.
 */
final class AgentEngineThread implements AutoCloseable {

    private static final int QUEUE_CAPACITY = 4_096;
    private static final long TICK_MICROS = 50_000;

    private final Consumer<AgentEngine> publisher;
    private final EngineThread<AgentEngine, AgentEvent, AgentAction> thread;

    AgentEngineThread(AgentEngine engine, Consumer<AgentAction> executor, Consumer<AgentEngine> publisher) {
        this.publisher = publisher;
        this.thread = new EngineThread<>(
                "agent-decisions",
                QUEUE_CAPACITY,
                engine,
                AgentEngine::handle,
                executor,
                () -> TICK_MICROS,
                this::tick);
    }

    void start() {
        thread.start();
    }

    /**
     * Adds an event, or drops it if the queue is full, as the network may drop a message.
     *
     * @return whether the event was added
     */
    boolean offer(AgentEvent event) {
        return thread.offer(event);
    }

    /** Adds an event that must not be lost; blocks while the queue is full. */
    void put(AgentEvent event) {
        thread.put(event);
    }

    /** Runs a query on the engine's thread. */
    <T> CompletableFuture<T> query(Function<AgentEngine, T> query) {
        return thread.query(query);
    }

    @Override
    public void close() {
        thread.close();
    }

    private void tick(AgentEngine engine) {
        thread.handleNow(new AgentEvent.TimePassed(WallClock.nowMicros()));
        publisher.accept(engine);
    }
}
