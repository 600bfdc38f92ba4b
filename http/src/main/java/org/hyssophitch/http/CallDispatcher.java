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
import org.hyssophitch.core.call.FleetNews;
import org.hyssophitch.core.load.TokenBucket;
import org.hyssophitch.wire.concurrent.WallClock;
import org.tinylog.Logger;

/**
 * Runs the call engine on an event loop: translates connection activity into engine events, and executes the actions
 * that the engine returns. Not thread-safe; everything runs on the event loop, so no call is handed over to another
 * thread.
 */
public final class CallDispatcher {

    /**
     * Value of {@code responseBufferBytes} that buffers small responses, so that one that is cut off early can be
     * replaced by that of another attempt.
     */
    public static final int RESPONSE_BUFFER_BYTES = 65_536;
    /** Value of {@code responseBufferBytes} that relays each piece of a response to the caller immediately. */
    public static final int NO_RESPONSE_BUFFERING = 0;

    /** Rate limit of log lines about actions that failed. */
    private static final double FAILURE_LINES_PER_SECOND = 10;

    private final CallEngine engine;
    private final EventLoop loop;
    private final HeaderConventions headerConventions;
    private final BackendPools pools;
    private final LoadProber loadProber;
    private final int responseBufferBytes;
    private final FleetNews fleetNews;
    private final UploadMemory uploadMemory = new UploadMemory();
    private final Map<Long, CallerExchange> exchanges = new HashMap<>();
    private final Deque<CallEvent> pendingEvents = new ArrayDeque<>();
    private final TokenBucket failureLines =
            new TokenBucket(FAILURE_LINES_PER_SECOND, FAILURE_LINES_PER_SECOND, WallClock.nowMicros());
    private ScheduledFuture<?> timer;
    private long timerMicros = Long.MAX_VALUE;
    private long lastCallId;
    private boolean isHandling;

    /**
     * Creates a dispatcher.
     *
     * @param engine makes the decisions
     * @param loop event loop that everything runs on
     * @param headerConventions header conventions of callers and backend servers
     * @param responseBufferBytes size in bytes up to which a response is buffered before it is relayed to the caller
     * @param fleetNews receives what the engine shares with the other entry hosts
     */
    public CallDispatcher(
            CallEngine engine,
            EventLoop loop,
            HeaderConventions headerConventions,
            int responseBufferBytes,
            FleetNews fleetNews) {
        this.engine = engine;
        this.loop = loop;
        this.headerConventions = headerConventions;
        this.pools = new BackendPools(loop, this::handle);
        this.loadProber = new LoadProber(this, pools, headerConventions, loop);
        this.responseBufferBytes = responseBufferBytes;
        this.fleetNews = fleetNews;
    }

    /** Passes an event to the engine. Events raised while it is handled are queued and handled after it. */
    public void handle(CallEvent event) {
        pendingEvents.add(event);
        if (isHandling) {
            return;
        }
        isHandling = true;
        try {
            for (CallEvent e = pendingEvents.poll(); e != null; e = pendingEvents.poll()) {
                handleOne(e);
            }
        } finally {
            isHandling = false;
        }
        scheduleTimer();
    }

    /** Returns the number of calls whose final response is not complete yet. */
    public int activeCalls() {
        return exchanges.size();
    }

    /** Returns the number of teams whose quota this host owns. */
    public int ownedQuotas() {
        return engine.ownedQuotas();
    }

    /** Returns the number of backend servers that have a limit because they are cold. */
    public int coldServers() {
        return engine.coldServers(WallClock.nowMicros());
    }

    /** Returns the number of connections to backend servers. */
    public int backendConnections() {
        return pools.connections();
    }

    /** Returns the number of bytes of requests' bodies that aren't passed on yet. */
    public long uploadBytes() {
        return uploadMemory.bytes();
    }

    /** Returns whether an attempt of a call is in flight. */
    boolean isAtServer(long callId) {
        return engine.isAtServer(callId);
    }

    /** Returns whether a request that waits for a connection may still be sent. */
    boolean maySend(long callId) {
        return engine.maySend(callId);
    }

    UploadMemory uploadMemory() {
        return uploadMemory;
    }

    HeaderConventions headerConventions() {
        return headerConventions;
    }

    EventLoop loop() {
        return loop;
    }

    int responseBufferBytes() {
        return responseBufferBytes;
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
            engine.handle(event).forEach(this::executeAlone);
            if (event instanceof CallEvent.ServersRegistered || event instanceof CallEvent.ConfigurationAccepted) {
                pools.retain(engine.servers().keySet());
            }
        } catch (RuntimeException e) {
            Logger.error(e, "call engine failed to handle {}", event.getClass().getSimpleName());
        }
    }

    /** Executes an action so that its failure leaves the other actions of the event alone. */
    private void executeAlone(CallAction action) {
        try {
            execute(action);
        } catch (RuntimeException e) {
            onActionFailed(action, e);
            if (action instanceof CallAction.StartAttempt a) {
                withExchange(a.callId(), x -> x.failAttempt(a.attempt()));
            }
        }
    }

    /** Logs that an action failed. */
    void onActionFailed(CallAction action, RuntimeException failure) {
        if (failureLines.tryTake(1, WallClock.nowMicros())) {
            Logger.error("cannot execute {}: {}", action.getClass().getSimpleName(), failure.toString());
        }
    }

    private void execute(CallAction action) {
        switch (action) {
            case CallAction.StartAttempt a -> withExchange(a.callId(), x -> x.startAttempt(a, pools));
            case CallAction.CancelAttempt a -> withExchange(a.callId(), x -> x.cancelAttempt(a.attempt()));
            case CallAction.RelayAnswer a -> withExchange(a.callId(), x -> x.relay(a.attempt()));
            case CallAction.AnswerCaller a ->
                withExchange(a.callId(), x -> x.refuse(a.reason(), a.retryAfterMillis(), a.detail()));
            case CallAction.AbortAnswer a -> withExchange(a.callId(), x -> x.abortResponse(a.reason()));
            case CallAction.ProbeLoad a -> loadProber.probe(a);
            case CallAction.ShareSuspicions a -> fleetNews.shareSuspicions(a.suspicions());
            case CallAction.ShareClearance a -> fleetNews.shareClearance(a.clearance());
            case CallAction.ShareCutOff a -> fleetNews.shareCutOff(a.isCutOff());
            case CallAction.ShareLimit a -> fleetNews.shareLimit(a.news(), a.isUrgent());
            case CallAction.AskQuota a -> fleetNews.askQuota(a.host(), a.ask());
            case CallAction.AnswerQuota a -> fleetNews.answerQuota(a.host(), a.grant());
        }
    }

    /** Does nothing for a call that is already answered: its exchange is unregistered, and no action is needed. */
    private void withExchange(long callId, Consumer<CallerExchange> action) {
        CallerExchange exchange = exchanges.get(callId);
        if (exchange != null) {
            action.accept(exchange);
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
        timer = loop.schedule(this::onEngineTimer, delay, TimeUnit.MICROSECONDS);
    }

    private void onEngineTimer() {
        timerMicros = Long.MAX_VALUE;
        handle(new CallEvent.TimePassed(WallClock.nowMicros()));
    }
}
