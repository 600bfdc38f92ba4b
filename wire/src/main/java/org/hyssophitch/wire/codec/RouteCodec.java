package org.hyssophitch.wire.codec;

import java.util.List;

import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.wire.generated.Wire;

/** Converts routes and caller limits to and from protobuf messages. Stateless. */
final class RouteCodec {

    private RouteCodec() {}

    static Wire.Route encode(Route r) {
        return Wire.Route.newBuilder()
                .setName(r.name())
                .setHost(r.host())
                .setPathPrefix(r.pathPrefix())
                .setIdempotent(r.idempotent())
                .setTimeoutMillis(r.timeoutMillis())
                .setTargetLatencyMillis(r.targetLatencyMillis())
                .setMaxAttempts(r.maxAttempts())
                .setPriority(r.priority())
                .addAllDestinations(
                        r.destinations().stream().map(RouteCodec::encode).toList())
                .setAllowAnonymous(r.allowAnonymous())
                .build();
    }

    static Route decode(Wire.Route r) {
        List<Route.Destination> destinations = r.getDestinationsList().stream()
                .map(d -> new Route.Destination(d.getService(), d.getWeight()))
                .toList();
        return new Route(
                r.getName(),
                r.getHost(),
                r.getPathPrefix(),
                r.getIdempotent(),
                r.getTimeoutMillis(),
                r.getTargetLatencyMillis(),
                r.getMaxAttempts(),
                r.getPriority(),
                destinations,
                r.getAllowAnonymous());
    }

    static Wire.CallerLimits encode(CallerLimits l) {
        return Wire.CallerLimits.newBuilder()
                .setMaxHeaderBytes(l.maxHeaderBytes())
                .setMaxBodyBytes(l.maxBodyBytes())
                .setHeaderTimeoutMillis(l.headerTimeoutMillis())
                .setIdleTimeoutMillis(l.idleTimeoutMillis())
                .build();
    }

    static CallerLimits decode(Wire.CallerLimits l) {
        return new CallerLimits(
                l.getMaxHeaderBytes(), l.getMaxBodyBytes(), l.getHeaderTimeoutMillis(), l.getIdleTimeoutMillis());
    }

    private static Wire.Destination encode(Route.Destination d) {
        return Wire.Destination.newBuilder()
                .setService(d.service())
                .setWeight(d.weight())
                .build();
    }
}
