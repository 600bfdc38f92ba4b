package org.hyssophitch.core.team;

/** Who sent a request. */
public sealed interface Caller {

    /** Caller of a request that names no team. */
    Caller ANONYMOUS = new Anonymous();

    /** Returns the name of the caller's team; empty without one. */
    String teamName();

    /** The request names no team, and needn't. */
    record Anonymous() implements Caller {

        @Override
        public String teamName() {
            return "";
        }
    }

    /**
     * The request carries an API key of a team.
     *
     * @param team name of the team
     * @param key digest of the key
     * @param isKeyOptional whether the request is served without a team once the key is removed, because its route
     *     allows anonymous callers
     */
    record Member(String team, KeyDigest key, boolean isKeyOptional) implements Caller {

        /** Creates a caller whose request needs the key. */
        public Member(String team, KeyDigest key) {
            this(team, key, false);
        }

        @Override
        public String teamName() {
            return team;
        }
    }
}
