package org.hyssophitch.entry;

import java.util.Optional;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.store.ChangeSource;
import org.hyssophitch.core.store.RelaySelector;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StorePage;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.StoreResult;
import org.hyssophitch.core.store.Timers;
import org.hyssophitch.core.store.WatchPacing;
import org.hyssophitch.wire.codec.RelayCodec;
import org.hyssophitch.wire.net.HttpClient;
import org.tinylog.Logger;

/**
 * Reads one kind of objects from the store or through a relay. Not thread-safe; confined to the event loop.
 *
 * <p>Objects are listed at the store, and through a relay if the store turns this host away. Changes are watched
 * through a relay, and at the store if this host is to do so or the relay doesn't answer. Positions are always those of
 * the store, so a watcher can change between both at any time. A relay that turns this host away may have missed
 * changes, and so may a watch that begins at that moment: then the objects are listed.
 *
 * @param <T> type of the decoded value
 */
final class RelayedSource<T> implements ChangeSource<T> {

    /** Decodes the body of a relay's answer. */
    @FunctionalInterface
    private interface Decoder<V> {
        StoreResult<V> decode(byte[] body) throws InvalidProtocolBufferException;
    }

    /** Time in milliseconds beyond its wait after which an unanswered request counts as failed. */
    private static final int TIMEOUT_MARGIN_MILLIS = 500;

    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final String NO_RELAY = "";
    private static final byte[] NO_BODY = new byte[0];

    private final String kind;
    private final ChangeSource<T> store;
    private final RelayCodec<T> codec;
    private final RelaySelector selector;
    private final RelayClients clients;
    private final Timers timers;
    private final Consumer<String> onRelayFailed;
    private final Consumer<String> onTurnedAway;
    /** Identifies the current watch; the end of an earlier one is ignored. */
    private long watchId;

    private String currentRelay = NO_RELAY;
    private Runnable restart = () -> {};
    private Runnable listAgain = () -> {};

    /**
     * Creates a source.
     *
     * @param kind name of the kind
     * @param store the store as the source of the kind
     * @param onRelayFailed called with the name of a relay that has failed a watch, so that those of other kinds leave
     *     it too
     * @param onTurnedAway called with the name of a relay that may have missed changes of any kind
     */
    RelayedSource(
            String kind,
            ChangeSource<T> store,
            RelayCodec<T> codec,
            RelaySelector selector,
            RelayClients clients,
            Timers timers,
            Consumer<String> onRelayFailed,
            Consumer<String> onTurnedAway) {
        this.kind = kind;
        this.store = store;
        this.codec = codec;
        this.selector = selector;
        this.clients = clients;
        this.timers = timers;
        this.onRelayFailed = onRelayFailed;
        this.onTurnedAway = onTurnedAway;
    }

    @Override
    public void list(String after, boolean allowStale, Consumer<StoreResult<StorePage<T>>> onResult) {
        store.list(after, allowStale, r -> {
            boolean hasFailed = observeStore(r);
            Optional<Member> relay = hasFailed ? selector.otherRelay(timers.nowMicros()) : Optional.empty();
            if (relay.isEmpty()) {
                onResult.accept(r);
                return;
            }
            RelayRequest request = new RelayRequest.Objects(kind);
            Decoder<StorePage<T>> decoder = b -> new StoreResult.Done<>(codec.decodeObjects(b));
            call(relay.get(), request, 0, decoder, fromRelay -> onResult.accept(fromRelay.orElse(r)));
        });
    }

    @Override
    public void watch(StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<T>>> onResult) {
        watchId++;
        Optional<Member> relay = selector.relay(timers.nowMicros());
        currentRelay = relay.map(Member::host).orElse(NO_RELAY);
        restart = () -> watch(since, waitMillis, onResult);
        listAgain = () -> onResult.accept(new StoreResult.HistoryGone<>());
        if (relay.isEmpty()) {
            boolean isSubstitute = selector.pacing(timers.nowMicros()) == WatchPacing.RELAYED;
            int wait = isSubstitute ? Math.min(waitMillis, WatchPacing.RELAYED.waitMillis()) : waitMillis;
            watchStore(since, wait, onResult);
        } else {
            watchThrough(relay.get(), new RelayRequest.Changes(kind, since, waitMillis), onResult);
        }
    }

    @Override
    public void readChanges(StorePosition since, Consumer<StoreResult<StoreChanges<T>>> onResult) {
        store.readChanges(since, r -> {
            observeStore(r);
            onResult.accept(r);
        });
    }

    /** Lets a watch that waits for a failed relay choose another source. */
    void onRelayFailed(String relay) {
        if (currentRelay.equals(relay)) {
            restart.run();
        }
    }

    /** Ends a watch that waits for a relay which may have missed changes; a new watch could miss them too. */
    void onTurnedAway(String relay) {
        if (currentRelay.equals(relay)) {
            watchId++;
            currentRelay = NO_RELAY;
            listAgain.run();
        }
    }

    private void watchThrough(
            Member relay, RelayRequest.Changes request, Consumer<StoreResult<StoreChanges<T>>> onResult) {
        long current = watchId;
        Decoder<StoreChanges<T>> decoder = b -> codec.decodeChanges(b)
                .<StoreResult<StoreChanges<T>>>map(StoreResult.Done::new)
                .orElseGet(StoreResult.HistoryGone::new);
        call(relay, request, request.waitMillis(), decoder, result -> {
            if (current != watchId) {
                return;
            }
            if (result.isEmpty()) {
                onRelayFailed.accept(relay.host());
                return;
            }
            currentRelay = NO_RELAY;
            if (selector.isAvoided(relay.host(), timers.nowMicros())) {
                onTurnedAway.accept(relay.host());
            }
            onResult.accept(result.get());
        });
    }

    private void watchStore(StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<T>>> onResult) {
        store.watch(since, waitMillis, r -> {
            observeStore(r);
            onResult.accept(r);
        });
    }

    /** Tells the selector whether the store serves this host; returns whether the call failed. */
    private boolean observeStore(StoreResult<?> result) {
        boolean hasFailed = result instanceof StoreResult.Refused || result instanceof StoreResult.MayBeDone;
        if (hasFailed) {
            selector.onStoreFailed(timers.nowMicros());
        } else {
            selector.onStoreAnswered();
        }
        return hasFailed;
    }

    /** Sends a request; the result is empty if the relay failed or turned this host away. */
    private <V> void call(
            Member relay,
            RelayRequest request,
            int waitMillis,
            Decoder<V> decoder,
            Consumer<Optional<StoreResult<V>>> onResult) {
        int timeoutMillis = waitMillis + TIMEOUT_MARGIN_MILLIS;
        clients.of(relay).call("GET", request.target(), NO_BODY, timeoutMillis, o -> {
            Optional<StoreResult<V>> result = interpret(o, decoder);
            if (!isAnswered(o)) {
                recordFailure(relay, o);
            }
            onResult.accept(result);
        });
    }

    private <V> Optional<StoreResult<V>> interpret(HttpClient.Outcome outcome, Decoder<V> decoder) {
        return switch (outcome) {
            case HttpClient.Outcome.Failed f -> Optional.empty();
            case HttpClient.Outcome.Answered a when a.status() == OK -> decode(a.body(), decoder);
            case HttpClient.Outcome.Answered a ->
                a.status() == GONE || a.status() == UNAVAILABLE
                        ? Optional.of(new StoreResult.HistoryGone<>())
                        : Optional.empty();
        };
    }

    private <V> Optional<StoreResult<V>> decode(byte[] body, Decoder<V> decoder) {
        try {
            return Optional.of(decoder.decode(body));
        } catch (InvalidProtocolBufferException e) {
            Logger.warn("cannot decode a relay's answer about {}: {}", kind, e.toString());
            return Optional.empty();
        }
    }

    private static boolean isAnswered(HttpClient.Outcome outcome) {
        return outcome instanceof HttpClient.Outcome.Answered a && (a.status() == OK || a.status() == GONE);
    }

    private void recordFailure(Member relay, HttpClient.Outcome outcome) {
        selector.onRelayFailed(relay.host(), timers.nowMicros());
        String detail =
                switch (outcome) {
                    case HttpClient.Outcome.Failed f -> f.failure().name();
                    case HttpClient.Outcome.Answered a -> "status " + a.status();
                };
        Logger.info("relay {} failed a request for {}: {}", relay.host(), kind, detail);
    }
}
