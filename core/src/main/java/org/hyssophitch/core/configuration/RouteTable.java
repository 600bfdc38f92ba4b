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
 * <p>A lookup costs one hash lookup per slash in the path, independent of the number of routes.
 */
public final class RouteTable {

    /** Empty table. */
    public static final RouteTable EMPTY = new RouteTable(List.of());

    private static final char SLASH = '/';

    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    /**
     * Indexes routes; the first of several with the same host and prefix wins.
     *
     * @param routes routes to index
     */
    public RouteTable(Collection<Route> routes) {
        routes.forEach(r -> byHost.computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new HashMap<>())
                .putIfAbsent(r.pathPrefix(), r));
    }

    /**
     * Finds the route with the longest prefix of the path.
     *
     * @param host host name without a port; case is ignored
     * @param path path without the query
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
