package org.hyssophitch.entry;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.store.RelaySelector;
import org.hyssophitch.core.store.RelayedView;
import org.hyssophitch.core.store.StoreResult;
import org.hyssophitch.core.store.Timers;
import org.hyssophitch.wire.codec.RelayedViewCodec;
import org.hyssophitch.wire.net.HttpClient;
import org.tinylog.Logger;

/** Sends requests to relays, and tells the selector which of them failed. Not thread-safe; confined to one thread. */
final class RelayCaller {

    /** Decodes the body of a relay's answer. */
    @FunctionalInterface
    interface Decoder<V> {
        StoreResult<V> decode(byte[] body) throws InvalidProtocolBufferException;
    }

    /**
     * Answer of a relay.
     *
     * @param result the decoded answer, or that the objects must be listed
     * @param views what the relay states about its views; empty for a relay of an earlier release
     * @param sentMicros time in microseconds at which the request was sent
     */
    record Answer<V>(StoreResult<V> result, List<RelayedView> views, long sentMicros) {}

    /** Time in milliseconds beyond its wait after which an unanswered request counts as failed. */
    private static final int TIMEOUT_MARGIN_MILLIS = 500;

    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final byte[] NO_BODY = new byte[0];

    private final RelaySelector selector;
    private final RelayClients clients;
    private final Timers timers;

    RelayCaller(RelaySelector selector, RelayClients clients, Timers timers) {
        this.selector = selector;
        this.clients = clients;
        this.timers = timers;
    }

    /** Sends a request; the answer is empty if the relay failed or turned this host away. */
    <V> void call(
            Member relay,
            RelayRequest request,
            int waitMillis,
            Decoder<V> decoder,
            Consumer<Optional<Answer<V>>> onAnswer) {
        int timeoutMillis = waitMillis + TIMEOUT_MARGIN_MILLIS;
        long sentMicros = timers.nowMicros();
        clients.of(relay).call("GET", request.target(), NO_BODY, timeoutMillis, o -> {
            Optional<Answer<V>> answer = interpret(request.kind(), o, decoder, sentMicros);
            if (!isAnswered(o)) {
                recordFailure(relay, request.kind(), o);
            }
            onAnswer.accept(answer);
        });
    }

    private static <V> Optional<Answer<V>> interpret(
            String kind, HttpClient.Outcome outcome, Decoder<V> decoder, long sentMicros) {
        return switch (outcome) {
            case HttpClient.Outcome.Failed f -> Optional.empty();
            case HttpClient.Outcome.Answered a when a.status() == OK -> decode(kind, a.body(), decoder, sentMicros);
            case HttpClient.Outcome.Answered a ->
                a.status() == GONE || a.status() == UNAVAILABLE
                        ? Optional.of(new Answer<>(new StoreResult.HistoryGone<>(), List.of(), sentMicros))
                        : Optional.empty();
        };
    }

    private static <V> Optional<Answer<V>> decode(String kind, byte[] body, Decoder<V> decoder, long sentMicros) {
        try {
            return Optional.of(new Answer<>(decoder.decode(body), RelayedViewCodec.decode(body), sentMicros));
        } catch (InvalidProtocolBufferException e) {
            Logger.warn("cannot decode a relay's answer about {}: {}", kind, e.toString());
            return Optional.empty();
        }
    }

    private static boolean isAnswered(HttpClient.Outcome outcome) {
        return outcome instanceof HttpClient.Outcome.Answered a && (a.status() == OK || a.status() == GONE);
    }

    private void recordFailure(Member relay, String kind, HttpClient.Outcome outcome) {
        selector.onRelayFailed(relay.host(), timers.nowMicros());
        String detail =
                switch (outcome) {
                    case HttpClient.Outcome.Failed f -> f.failure().name();
                    case HttpClient.Outcome.Answered a -> "status " + a.status();
                };
        Logger.info("relay {} failed a request for {}: {}", relay.host(), kind, detail);
    }
}
