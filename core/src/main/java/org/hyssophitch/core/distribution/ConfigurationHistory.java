package org.hyssophitch.core.distribution;

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
 * Holds the configuration in force and a limited number of previous ones, to compute changes for other entry hosts. Not
 * thread-safe; owned by the agent engine.
 */
public final class ConfigurationHistory {

    /** Maximum number of configurations kept. */
    private static final int MAX_CONFIGURATIONS = 16;

    private final Deque<Configuration> configurations = new ArrayDeque<>();

    /** Creates a history without a configuration in force. */
    public ConfigurationHistory() {
        configurations.addLast(Configuration.NONE);
    }

    /** Returns the configuration in force; {@link Configuration#NONE} until the first one is accepted. */
    public Configuration inForce() {
        return configurations.getLast();
    }

    /** Puts a configuration into force if it is newer than the one in force; returns whether it did. */
    public boolean accept(Configuration candidate) {
        if (!candidate.isNewerThan(inForce())) {
            return false;
        }
        configurations.addLast(candidate);
        if (configurations.size() > MAX_CONFIGURATIONS) {
            configurations.removeFirst();
        }
        return true;
    }

    /** Returns the changes since a version, or a complete configuration when that version is no longer kept. */
    public ConfigurationChange changeSince(long version) {
        Optional<Configuration> base =
                configurations.stream().filter(c -> c.version() == version).findFirst();
        return base.filter(b -> b.version() > 0)
                .map(b -> changeFrom(b, inForce()))
                .orElseGet(() -> new ConfigurationChange(0, inForce(), inForce().services(), List.of()));
    }

    /**
     * Applies a change to the configuration in force.
     *
     * @return the resulting configuration, or empty when the change applies to another version
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
        Set<String> targetNames = target.services().stream().map(Service::name).collect(Collectors.toSet());
        List<String> removed = base.services().stream()
                .map(Service::name)
                .filter(n -> !targetNames.contains(n))
                .toList();
        return new ConfigurationChange(base.version(), target, changed, removed);
    }
}
