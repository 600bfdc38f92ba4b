package org.hyssophitch.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.wire.duty.WallClock;
import org.tinylog.Logger;

/**
 * Runs the call engine on an event loop: turns what happens on connections into events, and carries out the actions.
 * Not thread-safe; everything happens on the event loop, without a hand-over per call.
 */
public final class CallCarrier {

    /** Value of {@code keptAnswerBytes} with which an answer that breaks early is replaced by another attempt's. */
    public static final int KEEP_SMALL_ANSWERS = 65_536;
    /** Value of {@code keptAnswerBytes} with which a caller gets each piece of an answer as it comes. */
    public static final int RELAY_AT_ONCE = 0;

    private final CallEngine engine;
    private final EventLoop loop;
    private final HeaderDialect dialect;
    private final BackendPools pools;
    private final LoadAsker asker;
    private final int keptAnswerBytes;
    private final Consumer<CallAction.ShareSuspicions> onSuspicions;
    private final Map<Long, CallerExchange> exchanges = new HashMap<>();
    private final Deque<CallEvent> pending = new ArrayDeque<>();
    private ScheduledFuture<?> timer;
    private long timerMicros = Long.MAX_VALUE;
    private long lastCallId;
    private boolean isHandling;

    /**
     * Creates a carrier.
     *
     * @param engine the decisions
     * @param loop event loop that everything happens on
     * @param dialect headers of callers and backend servers
     * @param keptAnswerBytes size in bytes up to which an answer is kept before the caller gets it
     * @param onSuspicions takes suspicions for the other entry hosts
     */
    public CallCarrier(
            CallEngine engine,
            EventLoop loop,
            HeaderDialect dialect,
            int keptAnswerBytes,
            Consumer<CallAction.ShareSuspicions> onSuspicions) {
        this.engine = engine;
        this.loop = loop;
        this.dialect = dialect;
        this.pools = new BackendPools(loop);
        this.asker = new LoadAsker(this, pools, dialect, loop);
        this.keptAnswerBytes = keptAnswerBytes;
        this.onSuspicions = onSuspicions;
    }

    /** Gives the engine an event; an event that comes up meanwhile is handled after it. */
    public void handle(CallEvent event) {
        pending.add(event);
        if (isHandling) {
            return;
        }
        isHandling = true;
        try {
            for (CallEvent e = pending.poll(); e != null; e = pending.poll()) {
                handleOne(e);
            }
        } finally {
            isHandling = false;
        }
        scheduleTimer();
    }

    /** Returns the number of calls without a final answer. */
    public int activeCalls() {
        return exchanges.size();
    }

    /** Returns the number of connections to backend servers. */
    public int backendConnections() {
        return pools.connections();
    }

    HeaderDialect dialect() {
        return dialect;
    }

    EventLoop loop() {
        return loop;
    }

    int keptAnswerBytes() {
        return keptAnswerBytes;
    }

    long nextCallId() {
        lastCallId++;
        return lastCallId;
    }

    void register(CallerExchange exchange) {
        exchanges.put(exchange.callId(), exchange);
    }

    void unregister(CallerExchange exchange) {
        exchanges.remove(exchange.callId());
    }

    private void handleOne(CallEvent event) {
        try {
            engine.handle(event).forEach(this::carryOut);
            if (event instanceof CallEvent.ServersRegistered || event instanceof CallEvent.ConfigurationAccepted) {
                pools.retain(engine.servers().keySet());
            }
        } catch (RuntimeException e) {
            Logger.error(e, "call engine failed on {}", event.getClass().getSimpleName());
        }
    }

    private void carryOut(CallAction action) {
        switch (action) {
            case CallAction.StartAttempt a -> with(a.callId(), x -> x.startAttempt(a, pools));
            case CallAction.CancelAttempt a -> with(a.callId(), x -> x.cancelAttempt(a.attempt()));
            case CallAction.RelayAnswer a -> with(a.callId(), x -> x.relay(a.attempt()));
            case CallAction.AnswerCaller a ->
                with(a.callId(), x -> x.refuse(a.reason(), a.retryAfterMillis(), a.detail()));
            case CallAction.AbortAnswer a -> with(a.callId(), x -> x.breakAnswer(a.reason()));
            case CallAction.ProbeLoad a -> asker.ask(a);
            case CallAction.ShareSuspicions a -> onSuspicions.accept(a);
        }
    }

    /** A call that has got its answer is not known any more; what the engine still wants has nothing left to do. */
    private void with(long callId, Consumer<CallerExchange> step) {
        CallerExchange exchange = exchanges.get(callId);
        if (exchange != null) {
            step.accept(exchange);
        }
    }

    private void scheduleTimer() {
        long next = engine.nextTimerMicros();
        if (next >= timerMicros) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerMicros = next;
        long delay = Math.max(0, next - WallClock.nowMicros());
        timer = loop.schedule(this::onTimer, delay, TimeUnit.MICROSECONDS);
    }

    private void onTimer() {
        timerMicros = Long.MAX_VALUE;
        handle(new CallEvent.TimePassed(WallClock.nowMicros()));
    }
}
