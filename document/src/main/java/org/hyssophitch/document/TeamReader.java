package org.hyssophitch.document;

import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import org.hyssophitch.core.team.KeyDigest;
import org.hyssophitch.core.team.Team;
import org.hyssophitch.wire.yaml.Fault;
import org.hyssophitch.wire.yaml.YamlMapping;

/**
 * Parses and validates the teams of a document. Faults never quote a key. Not thread-safe; one instance per document.
 */
final class TeamReader {

    /** Prefix of a key that is given as its SHA-256 digest in hexadecimal. */
    static final String DIGEST_PREFIX = "sha256:";
    /** Hexadecimal digits of a SHA-256 digest. */
    static final int DIGEST_DIGITS = 64;

    private static final String KEYS = "api-keys";
    private static final String DIGEST_PATTERN = DIGEST_PREFIX + "[0-9a-fA-F]{" + DIGEST_DIGITS + "}";
    private static final int LOWEST_PRIORITY = 100;
    private static final int MAX_REQUESTS = 1_000_000;

    private final DuplicateChecker duplicates = new DuplicateChecker();
    private final Map<KeyDigest, String> teamByKey = new HashMap<>();

    List<Team> teams(YamlMapping document) {
        return document.list("teams", this::team);
    }

    private Team team(YamlMapping m) {
        String name = m.name("name");
        duplicates.check(m, "name", "team", name);
        OptionalInt priority = m.has("priority")
                ? OptionalInt.of(m.integer("priority", 0, LOWEST_PRIORITY, LOWEST_PRIORITY))
                : OptionalInt.empty();
        return new Team(
                name,
                keys(m, name),
                priority,
                m.decimal("requests-per-second", 0, MAX_REQUESTS, 0),
                m.decimal("burst", 0, MAX_REQUESTS, 0));
    }

    private Set<KeyDigest> keys(YamlMapping m, String team) {
        Set<KeyDigest> keys = new HashSet<>();
        m.texts(KEYS).stream().filter(k -> !k.isEmpty()).forEach(k -> {
            if (k.startsWith(DIGEST_PREFIX) && !k.matches(DIGEST_PATTERN)) {
                m.report(Fault.Kind.NOT_ALLOWED, KEYS, "a malformed digest", DIGEST_PREFIX + " and 64 hex digits");
            } else {
                keys.add(digest(k));
            }
        });
        keys.forEach(k -> checkOwner(m, k, team));
        return keys;
    }

    /** Reports a key that another team holds as well: it would identify neither of them. */
    private void checkOwner(YamlMapping m, KeyDigest key, String team) {
        String other = teamByKey.putIfAbsent(key, team);
        if (other != null) {
            m.report(Fault.Kind.DUPLICATE, KEYS, "a key of team " + other, "each key in one team");
        }
    }

    private static KeyDigest digest(String key) {
        return key.startsWith(DIGEST_PREFIX)
                ? KeyDigest.ofBytes(HexFormat.of().parseHex(key.substring(DIGEST_PREFIX.length())))
                : KeyDigest.of(key);
    }
}
