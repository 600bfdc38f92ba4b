package org.hyssophitch.entry.soak;

/**
 * A route of the configuration; its requests start with {@code /name/}.
 *
 * @param kind "safe", "write" or "upload"
 */
record Route(String name, String kind, long timeoutMillis, int attempts) {

    String json(String service) {
        return """
               {"name":"%s","kind":"%s","target_latency_ms":1200,"priority":1,"match":{"path_prefix":"/%s/"},
                "action":{"service":"%s","timeout_ms":%d,"max_attempts":%d}}
               """
                .formatted(name, kind, name, service, timeoutMillis, attempts);
    }
}
