package org.hyssophitch.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.hyssophitch.core.configuration.RegisteredServer;

/**
 * The latest registration notice for each backend server that registers itself. Not thread-safe; owned by the agent
 * engine.
 *
 * <p>An agent that reads the platform's host list creates notices only for differences from the list it read before.
 * The list may be stale, so reading the same list again must not override newer notices of other agents. The first
 * read only fills in servers without a notice: any other notice supersedes its notices.
 */
final class RegistrationTable {

    /** Timestamp of the notices from the first read of the host list; every later timestamp supersedes it. */
    private static final long FIRST_READ_MICROS = 0;
    /** Retention of the notice of a removed registration, in microseconds; longer than the host list can be stale. */
    private static final long REMOVED_RETENTION_MICROS = 60_000_000;

    private static final long MICROS_PER_MILLI = 1_000;

    private final Map<String, RegistrationNotice> notices = new TreeMap<>();
    private Optional<Map<String, RegisteredServer>> lastListed = Optional.empty();

    /** Returns the notices to add after the platform's host list was read. */
    List<RegistrationNotice> onHostList(List<ListedHost> hosts, long nowMicros) {
        Map<String, RegisteredServer> current = new TreeMap<>();
        hosts.forEach(h -> h.registration().ifPresent(r -> current.put(h.name(), r)));
        Map<String, RegisteredServer> previous = lastListed.orElse(Map.of());
        long statedMicros = lastListed.isPresent() ? nowMicros : FIRST_READ_MICROS;
        lastListed = Optional.of(current);
        List<RegistrationNotice> newNotices = new ArrayList<>();
        current.forEach((name, r) -> {
            if (!r.equals(previous.get(name))) {
                newNotices.add(new RegistrationNotice(name, Optional.of(r), statedMicros));
            }
        });
        previous.keySet().stream()
                .filter(name -> !current.containsKey(name))
                .forEach(name -> newNotices.add(new RegistrationNotice(name, Optional.empty(), statedMicros)));
        return newNotices;
    }

    /** Adds a notice; returns whether it changes the known registration. */
    boolean add(RegistrationNotice n) {
        RegistrationNotice known = notices.get(n.server());
        if (known != null && known.statedMicros() >= n.statedMicros()) {
            return false;
        }
        notices.put(n.server(), n);
        return known == null || !known.registration().equals(n.registration());
    }

    /** Returns whether this agent has read the host list itself and therefore knows every registered server. */
    boolean isComplete() {
        return lastListed.isPresent();
    }

    /** Returns the registered servers; a recently started one has its remaining warm-up time. */
    List<RegisteredServer> registered(long nowMicros) {
        return notices.values().stream()
                .flatMap(n -> n.registration().stream().map(r -> withRemainingWarmUp(r, n, nowMicros)))
                .toList();
    }

    /** Returns the registrations to send to the local proxy. */
    ProxyUpdate.Registrations forProxy(long nowMicros) {
        return new ProxyUpdate.Registrations(isComplete(), registered(nowMicros), removedServers());
    }

    /** Returns the registered servers, grouped by service name. */
    Map<String, List<RegisteredServer>> byService(long nowMicros) {
        return registered(nowMicros).stream().collect(Collectors.groupingBy(RegisteredServer::service));
    }

    /** Returns all notices, to be sent to agents that missed earlier ones; removes expired notices first. */
    List<RegistrationNotice> all(long nowMicros) {
        notices.values()
                .removeIf(n -> n.registration().isEmpty() && nowMicros - n.statedMicros() > REMOVED_RETENTION_MICROS);
        return List.copyOf(notices.values());
    }

    private Set<String> removedServers() {
        return notices.values().stream()
                .filter(n -> n.registration().isEmpty())
                .map(RegistrationNotice::server)
                .collect(Collectors.toSet());
    }

    private static RegisteredServer withRemainingWarmUp(RegisteredServer r, RegistrationNotice n, long nowMicros) {
        long elapsedMillis = Math.max(0, nowMicros - n.statedMicros()) / MICROS_PER_MILLI;
        return r.withColdMillis((int) Math.max(0, r.coldMillis() - elapsedMillis));
    }
}
