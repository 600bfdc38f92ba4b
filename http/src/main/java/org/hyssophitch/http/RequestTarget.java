package org.hyssophitch.http;

/** Parses the request target and the {@code Host} header. Stateless. */
final class RequestTarget {

    private static final String SCHEME = "http://";

    private RequestTarget() {}

    /** Returns the path and query of a request target in origin form or absolute form. */
    static String of(String uri) {
        if (!uri.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return uri;
        }
        int slash = uri.indexOf('/', SCHEME.length());
        return slash < 0 ? "/" : uri.substring(slash);
    }

    /** Returns the path without the query. */
    static String path(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the host name without a port. */
    static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        boolean isPort = colon > 0 && host.indexOf(']', colon) < 0;
        return isPort ? host.substring(0, colon) : host;
    }
}
