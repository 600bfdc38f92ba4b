package org.hyssophitch.core.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Index of routes by host name and path prefix. Immutable.
 *
 * <p>A look-up costs one hash look-up for each slash of the path, however many routes there are.
 */
public final class RouteTable {

    /** Table without routes. */
    public static final RouteTable EMPTY = new RouteTable(List.of());

    private static final char SLASH = '/';

    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    /**
     * Indexes routes; of two with the same host and prefix the first counts.
     *
     * @param routes routes to index
     */
    public RouteTable(Collection<Route> routes) {
        routes.forEach(r -> byHost.computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new HashMap<>())
                .putIfAbsent(r.pathPrefix(), r));
    }

    /**
     * Finds the route with the longest prefix that begins the path.
     *
     * @param host host name, in any case, without a port
     * @param path path without a query
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> routes = byHost.get(host.toLowerCase(Locale.ROOT));
        if (routes == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf(SLASH); end >= 0; end = path.lastIndexOf(SLASH, end - 1)) {
            Route found = routes.get(path.substring(0, end + 1));
            if (found != null) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }
}
