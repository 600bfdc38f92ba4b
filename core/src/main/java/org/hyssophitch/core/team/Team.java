package org.hyssophitch.core.team;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A team of callers, who authenticate with API keys. Immutable.
 *
 * @param name name, unique within the configuration
 * @param keys digests of its API keys
 * @param priority priority of its calls, which goes before that of their routes; 0 is the highest; empty for none
 * @param requestsPerSecond requests per second that it may send to all entry hosts together; 0 for no limit
 * @param burst requests that it may send at once in addition
 */
public record Team(String name, Set<KeyDigest> keys, OptionalInt priority, double requestsPerSecond, double burst) {

    /** Rejects null references and copies the keys. */
    public Team {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(priority, "priority");
        keys = Set.copyOf(keys);
    }

    /** Returns whether the team has a quota. */
    public boolean hasQuota() {
        return requestsPerSecond > 0;
    }
}
