package org.hyssophitch.core.team;

import java.util.Optional;

/** Result of looking up the API key of a request. */
public sealed interface Authentication {

    /** Result for a request without a known key whose route allows anonymous callers. */
    Authentication ANONYMOUS = new Anonymous();

    /** Result for a request whose key is missing or identifies no team. */
    Authentication UNKNOWN = new Unknown();

    /** The request is served without a team. */
    record Anonymous() implements Authentication {}

    /**
     * The key identifies a team.
     *
     * @param team team that the key belongs to
     * @param key digest of the key
     */
    record Member(Team team, KeyDigest key) implements Authentication {}

    /** Returns the caller of a request that may be served; empty if it must be refused. */
    default Optional<Caller> caller(boolean isKeyOptional) {
        return switch (this) {
            case Anonymous a -> Optional.of(Caller.ANONYMOUS);
            case Member m -> Optional.of(new Caller.Member(m.team().name(), m.key(), isKeyOptional));
            case Unknown u -> Optional.empty();
        };
    }

    /** The request must be refused. */
    record Unknown() implements Authentication {}
}
