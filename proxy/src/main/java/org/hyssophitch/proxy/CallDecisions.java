package org.hyssophitch.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;

import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.health.SuspectRegister.Suspicion;
import org.hyssophitch.wire.duty.EngineDuty;
import org.hyssophitch.wire.duty.WallClock;
import org.tinylog.Logger;

/**
 * The duty that runs the call engine and hands its actions to the calls. Thread-safe; runs from {@link #start} until
 * {@link #close}.
 */
final class CallDecisions implements AutoCloseable {

    private static final int RING_CAPACITY = 16_384;
    private static final long BUSY_TICK_MICROS = 1_000;
    private static final long IDLE_TICK_MICROS = 20_000;

    private final CallEngine engine;
    private final Map<Long, Consumer<CallAction>> calls = new ConcurrentHashMap<>();
    private final List<Suspicion> suspicions = new ArrayList<>();
    private final EngineDuty<CallEngine, CallEvent, CallAction> duty;

    CallDecisions(CallEngine engine) {
        this.engine = engine;
        this.duty = new EngineDuty<>(
                "proxy-decisions",
                RING_CAPACITY,
                engine,
                CallEngine::handle,
                this::dispatch,
                this::tickMicros,
                this::tick);
    }

    void start() {
        duty.start();
    }

    /** Registers the receiver of a call's actions; called on the engine's thread. */
    void register(long callId, Consumer<CallAction> receiver) {
        calls.put(callId, receiver);
    }

    void unregister(long callId) {
        calls.remove(callId);
    }

    /** Adds an event; returns false when the ring is full. */
    boolean offer(CallEvent event) {
        return duty.offer(event);
    }

    /** Adds an event that must not get lost. */
    void put(CallEvent event) {
        duty.put(event);
    }

    /** Asks the engine on its own thread. */
    <T> CompletableFuture<T> ask(Function<CallEngine, T> question) {
        return duty.ask(question);
    }

    /** Returns the suspicions to share since the last call. */
    List<Suspicion> takeSuspicions() {
        synchronized (suspicions) {
            List<Suspicion> taken = List.copyOf(suspicions);
            suspicions.clear();
            return taken;
        }
    }

    @Override
    public void close() {
        duty.close();
    }

    /** Timers need a fine tick only while there are calls; a call that arrives wakes the thread. */
    private long tickMicros() {
        return engine.activeCalls() > 0 ? BUSY_TICK_MICROS : IDLE_TICK_MICROS;
    }

    private void tick(CallEngine e) {
        long now = WallClock.nowMicros();
        if (e.activeCalls() > 0 || e.nextTimerMicros() <= now) {
            duty.handleNow(new CallEvent.TimePassed(now));
        }
    }

    private void dispatch(CallAction action) {
        switch (action) {
            case CallAction.StartAttempt a -> deliver(a.callId(), a);
            case CallAction.RelayAnswer a -> deliver(a.callId(), a);
            case CallAction.CancelAttempt a -> deliver(a.callId(), a);
            case CallAction.AnswerCaller a -> deliver(a.callId(), a);
            case CallAction.BreakAnswer a -> deliver(a.callId(), a);
            // The engine asks only where entry hosts keep a budget for questions together; agents measure load here.
            case CallAction.AskLoad a ->
                Logger.error("no budget to ask {} servers for load", a.servers().size());
            case CallAction.ShareSuspicions s -> {
                synchronized (suspicions) {
                    suspicions.addAll(s.suspicions());
                }
            }
        }
    }

    private void deliver(long callId, CallAction action) {
        Consumer<CallAction> receiver = calls.get(callId);
        if (receiver != null) {
            receiver.accept(action);
        }
    }
}
