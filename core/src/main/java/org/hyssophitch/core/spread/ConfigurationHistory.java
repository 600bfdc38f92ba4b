package org.hyssophitch.core.spread;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Service;

/**
 * The configuration in force and a few before it, from which changes are worked out for other entry hosts. Not
 * thread-safe; owned by the agent engine.
 */
public final class ConfigurationHistory {

    /** Number of configurations kept to work out changes from. */
    private static final int KEPT = 16;

    private final Deque<Configuration> kept = new ArrayDeque<>();

    /** Creates a history without a configuration in force. */
    public ConfigurationHistory() {
        kept.addLast(Configuration.NONE);
    }

    /** Returns the configuration in force; {@link Configuration#NONE} before the first. */
    public Configuration inForce() {
        return kept.getLast();
    }

    /** Puts a configuration into force when it is newer than the one in force; returns whether it did. */
    public boolean accept(Configuration candidate) {
        if (!candidate.isNewerThan(inForce())) {
            return false;
        }
        kept.addLast(candidate);
        if (kept.size() > KEPT) {
            kept.removeFirst();
        }
        return true;
    }

    /** Returns what changed since the version given; everything when that version is not kept any more. */
    public ConfigurationChange changeSince(long version) {
        Optional<Configuration> base =
                kept.stream().filter(c -> c.version() == version).findFirst();
        return base.filter(b -> b.version() > 0)
                .map(b -> changeFrom(b, inForce()))
                .orElseGet(() -> new ConfigurationChange(0, inForce(), inForce().services(), List.of()));
    }

    /**
     * Applies a change to the configuration in force.
     *
     * @return the resulting configuration, or empty when the change builds on another version
     */
    public Optional<Configuration> apply(ConfigurationChange change) {
        if (change.baseVersion() != 0 && change.baseVersion() != inForce().version()) {
            return Optional.empty();
        }
        return Optional.of(change.applyTo(inForce()));
    }

    private static ConfigurationChange changeFrom(Configuration base, Configuration target) {
        Set<Service> unchanged = new HashSet<>(base.services());
        List<Service> changed =
                target.services().stream().filter(s -> !unchanged.contains(s)).toList();
        Set<String> kept = target.services().stream().map(Service::name).collect(Collectors.toSet());
        List<String> removed = base.services().stream()
                .map(Service::name)
                .filter(n -> !kept.contains(n))
                .toList();
        return new ConfigurationChange(base.version(), target, changed, removed);
    }
}
