package org.hyssophitch.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.platform.PlatformEndpoints;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.HttpEndpoint;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;
import org.hyssophitch.wire.report.MetricsText;

/**
 * HTTP endpoints of an entry host beside those for requests: readiness, directory, metrics, and relaying to other
 * hosts. Not thread-safe except for {@link #open}; answers on one event loop.
 */
final class HostEndpoints {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    /** TTL in seconds of a directory response; the settings may lower it. */
    private static final int ADDRESS_TTL_SECONDS = 2;

    /** Maximum size in bytes of a request body; no request of these endpoints needs one. */
    private static final int MAX_BODY_BYTES = 1_024;

    private final BooleanSupplier isReady;
    private final Peers peers;
    private final IntSupplier maxTtlSeconds;
    private final EntryMetrics metrics;
    private final StoreRelay storeRelay;

    HostEndpoints(
            BooleanSupplier isReady,
            Peers peers,
            IntSupplier maxTtlSeconds,
            EntryMetrics metrics,
            StoreRelay storeRelay) {
        this.isReady = isReady;
        this.peers = peers;
        this.maxTtlSeconds = maxTtlSeconds;
        this.metrics = metrics;
        this.storeRelay = storeRelay;
    }

    /** Binds the addresses that are set, and starts to listen. */
    void open(EventLoopGroup group, EntrySettings.Addresses addresses) {
        listen(group, addresses.readiness(), q -> reply(this::readiness));
        listen(group, addresses.directory(), q -> reply(() -> directory(q)));
        listen(group, addresses.metrics(), q -> reply(() -> HttpReply.text(MetricsText.of(metrics.registry()))));
        listen(group, addresses.peers(), storeRelay::handle);
    }

    private static void listen(
            EventLoopGroup group, String address, Function<HttpQuery, CompletionStage<HttpReply>> handler) {
        if (!address.isEmpty()) {
            new HttpEndpoint(group, Addresses.parse(address), MAX_BODY_BYTES, handler);
        }
    }

    private static CompletionStage<HttpReply> reply(Supplier<HttpReply> response) {
        return CompletableFuture.completedFuture(response.get());
    }

    private HttpReply readiness() {
        return HttpReply.empty(isReady.getAsBoolean() ? OK : UNAVAILABLE);
    }

    private HttpReply directory(HttpQuery query) {
        List<String> addresses = EntryHostDirectory.select(peers.accepting(), PlatformEndpoints.callerZone(query));
        int ttlSeconds = Math.min(ADDRESS_TTL_SECONDS, maxTtlSeconds.getAsInt());
        return addresses.isEmpty()
                ? HttpReply.empty(UNAVAILABLE)
                : HttpReply.json(OK, PlatformEndpoints.directoryAnswer(addresses, ttlSeconds));
    }
}
