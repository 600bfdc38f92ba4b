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
 * The latest statement on each backend server that registers itself. Not thread-safe; owned by the agent engine.
 *
 * <p>A reader of the platform's host list states only what differs from its reading before, because lists may lag: the
 * same old list read again must not overrule what others have learnt since. Its first reading fills in what nobody has
 * stated yet.
 */
final class RegistrationBoard {

    /** Time of statements that any other one replaces. */
    private static final long FIRST_READING = 0;
    /** Time in microseconds for which a registration that is gone is remembered, longer than any list lags. */
    private static final long GONE_MICROS = 60_000_000;

    private static final long MICROS_PER_MILLI = 1_000;

    private final Map<String, RegistrationNotice> notices = new TreeMap<>();
    private Optional<Map<String, RegisteredServer>> listed = Optional.empty();

    /** Returns the statements to make after a reading of the platform's host list. */
    List<RegistrationNotice> onListed(List<ListedHost> hosts, long nowMicros) {
        Map<String, RegisteredServer> current = new TreeMap<>();
        hosts.forEach(h -> h.registration().ifPresent(r -> current.put(h.name(), r)));
        Map<String, RegisteredServer> before = listed.orElse(Map.of());
        long stated = listed.isPresent() ? nowMicros : FIRST_READING;
        listed = Optional.of(current);
        List<RegistrationNotice> changes = new ArrayList<>();
        current.forEach((name, r) -> {
            if (!r.equals(before.get(name))) {
                changes.add(new RegistrationNotice(name, Optional.of(r), stated));
            }
        });
        before.keySet().stream()
                .filter(name -> !current.containsKey(name))
                .forEach(name -> changes.add(new RegistrationNotice(name, Optional.empty(), stated)));
        return changes;
    }

    /** Takes a statement; returns whether it is news. */
    boolean add(RegistrationNotice n) {
        RegistrationNotice known = notices.get(n.server());
        if (known != null && known.statedMicros() >= n.statedMicros()) {
            return false;
        }
        notices.put(n.server(), n);
        return known == null || !known.registration().equals(n.registration());
    }

    /** Returns whether this agent has read the host list itself, so that what it knows is all there is. */
    boolean isComplete() {
        return listed.isPresent();
    }

    /** Returns the registered servers; those that started a short time ago with the rest of their cold time. */
    List<RegisteredServer> registered(long nowMicros) {
        return notices.values().stream()
                .flatMap(n -> n.registration().stream().map(r -> withColdLeft(r, n, nowMicros)))
                .toList();
    }

    /** Returns what the local proxy has to know. */
    ProxyUpdate.Registrations forProxy(long nowMicros) {
        return new ProxyUpdate.Registrations(isComplete(), registered(nowMicros), gone());
    }

    /** Returns the registered servers by the name of their service. */
    Map<String, List<RegisteredServer>> byService(long nowMicros) {
        return registered(nowMicros).stream().collect(Collectors.groupingBy(RegisteredServer::service));
    }

    /** Returns every statement, for a newcomer; those on servers gone long ago are forgotten. */
    List<RegistrationNotice> all(long nowMicros) {
        notices.values().removeIf(n -> n.registration().isEmpty() && nowMicros - n.statedMicros() > GONE_MICROS);
        return List.copyOf(notices.values());
    }

    private Set<String> gone() {
        return notices.values().stream()
                .filter(n -> n.registration().isEmpty())
                .map(RegistrationNotice::server)
                .collect(Collectors.toSet());
    }

    private static RegisteredServer withColdLeft(RegisteredServer r, RegistrationNotice n, long nowMicros) {
        long elapsedMillis = Math.max(0, nowMicros - n.statedMicros()) / MICROS_PER_MILLI;
        return r.withColdMillis((int) Math.max(0, r.coldMillis() - elapsedMillis));
    }
}
