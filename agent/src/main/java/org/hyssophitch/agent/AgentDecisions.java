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
 * The duty that runs the agent engine. Thread-safe; runs from {@link #start} until {@link #close}.
 */
final class AgentDecisions implements AutoCloseable {

    private static final int RING_CAPACITY = 4_096;
    private static final long TICK_MICROS = 50_000;

    private final Consumer<AgentEngine> publisher;
    private final EngineThread<AgentEngine, AgentEvent, AgentAction> duty;

    AgentDecisions(AgentEngine engine, Consumer<AgentAction> executor, Consumer<AgentEngine> publisher) {
        this.publisher = publisher;
        this.duty = new EngineThread<>(
                "agent-decisions", RING_CAPACITY, engine, AgentEngine::handle, executor, () -> TICK_MICROS, this::tick);
    }

    void start() {
        duty.start();
    }

    /** Adds an event; drops it when the ring is full, as a network might. */
    boolean offer(AgentEvent event) {
        return duty.offer(event);
    }

    /** Adds an event that must not get lost. */
    void put(AgentEvent event) {
        duty.put(event);
    }

    /** Asks the engine on its own thread. */
    <T> CompletableFuture<T> ask(Function<AgentEngine, T> question) {
        return duty.query(question);
    }

    @Override
    public void close() {
        duty.close();
    }

    private void tick(AgentEngine engine) {
        duty.handleNow(new AgentEvent.TimePassed(WallClock.nowMicros()));
        publisher.accept(engine);
    }
}
