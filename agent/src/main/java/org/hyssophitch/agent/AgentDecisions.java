package org.hyssophitch.agent;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import org.hyssophitch.core.control.AgentAction;
import org.hyssophitch.core.control.AgentEngine;
import org.hyssophitch.core.control.AgentEvent;
import org.hyssophitch.wire.duty.DutyThread;
import org.hyssophitch.wire.duty.WallClock;

/**
 * The duty that runs the agent engine. Thread-safe; runs from {@link #start} until {@link #close}.
 */
final class AgentDecisions implements AutoCloseable {

    private static final int RING_CAPACITY = 4_096;
    private static final long TICK_MICROS = 50_000;

    private final AgentEngine engine;
    private final Consumer<AgentAction> executor;
    private final Consumer<AgentEngine> publisher;
    private final DutyThread<AgentWork> duty;

    AgentDecisions(AgentEngine engine, Consumer<AgentAction> executor, Consumer<AgentEngine> publisher) {
        this.engine = engine;
        this.executor = executor;
        this.publisher = publisher;
        this.duty = new DutyThread<>("agent-decisions", RING_CAPACITY, () -> TICK_MICROS, this::handle, this::tick);
    }

    void start() {
        duty.start();
    }

    /** Adds an event; drops it when the ring is full, as a network might. */
    boolean offer(AgentEvent event) {
        return duty.offer(new AgentWork.Event(event));
    }

    /** Adds an event that must not get lost. */
    void put(AgentEvent event) {
        duty.put(new AgentWork.Event(event));
    }

    /** Asks the engine on its own thread. */
    <T> CompletableFuture<T> ask(Function<AgentEngine, T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        boolean isTaken = duty.offer(new AgentWork.Query(e -> answer.complete(question.apply(e))));
        if (!isTaken) {
            answer.completeExceptionally(new IllegalStateException("decision ring is full"));
        }
        return answer;
    }

    @Override
    public void close() {
        duty.close();
    }

    private void handle(AgentWork work) {
        switch (work) {
            case AgentWork.Event e -> engine.handle(e.event()).forEach(executor);
            case AgentWork.Query q -> q.reader().accept(engine);
        }
    }

    private void tick() {
        engine.handle(new AgentEvent.TimePassed(WallClock.nowMicros())).forEach(executor);
        publisher.accept(engine);
    }
}
