package org.hyssophitch.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StoredObject;

/**
 * The backend servers that this entry host considers live, from their registrations in the store. Not thread-safe.
 *
 * <p>A server is normally removed as soon as its registration is deleted. But registrations also expire while the store
 * is unavailable, and live servers renew them within about two seconds of its recovery. A server whose registration
 * disappears within that time, or together with many others, is therefore kept for a short grace period. A draining
 * server gets none. Where only this host was cut off from the store, other hosts tell since when they have reached it,
 * and the time counts from then.
 *
 * <p>A store that was restored from a copy lists earlier registrations until the servers write theirs again. The
 * sequence numbers of a server's statements tell which registration is the later one: an earlier one is ignored, and a
 * server that was already removed returns only once its sequence number rises.
 */
public final class ServerRegistry {

    /** Time in microseconds after a recovery of the store within which live servers renew their registrations. */
    public static final long RENEWAL_PERIOD_MICROS = 2_000_000;
    /**
     * Time in microseconds for which servers are kept that disappeared together with many others. It is below the 2
     * seconds after which a leaving server must get no new calls.
     */
    private static final long MASS_EXPIRY_GRACE_MICROS = 1_200_000;
    /** Minimum fraction of a service's servers whose simultaneous loss counts as expiry, not as intended removal. */
    private static final double MASS_EXPIRY_FRACTION = 0.4;
    /** Minimum number of servers whose simultaneous loss counts as expiry. */
    private static final int MASS_EXPIRY_MIN_SERVERS = 3;

    /** Time in microseconds for which removed servers are remembered; copies of the store are some seconds old. */
    private static final long REMOVAL_MEMORY_MICROS = 60_000_000;

    /**
     * Time for which a server without a registration is kept, in microseconds.
     *
     * @param fixedEndMicros end that holds in any case
     * @param renewalEndMicros end of the time in which live servers renew their registrations after an outage
     */
    private record Grace(long fixedEndMicros, long renewalEndMicros) {

        private long endMicros() {
            return Math.max(fixedEndMicros, renewalEndMicros);
        }

        private Grace withRenewalUntil(long micros) {
            return new Grace(fixedEndMicros, Math.min(renewalEndMicros, micros));
        }
    }

    /** What another entry host said of the store: since when it has reached it, and when that was heard. */
    private record ReachabilityReport(long sinceMicros, long heardMicros) {

        /** Returns whether it was heard so recently that no registration can have expired since. */
        private boolean isRecent(long nowMicros) {
            return nowMicros - heardMicros <= RENEWAL_PERIOD_MICROS;
        }

        private long renewalEndMicros() {
            return sinceMicros + RENEWAL_PERIOD_MICROS;
        }
    }

    /** When a server was removed, and the sequence number of its last known statement. */
    private record Removal(long micros, long sequence) {}

    private final Map<String, RegisteredServer> servers = new TreeMap<>();
    private final Map<String, Grace> graces = new HashMap<>();
    /** Sequence numbers at which removed servers appeared in a restored store. */
    private final Map<String, Long> unprovenSequences = new HashMap<>();

    private final Map<String, Removal> removals = new HashMap<>();

    private long renewalEndMicros;
    private long restoreRenewalEndMicros;
    private boolean isRestored;
    private Optional<ReachabilityReport> otherHostsReport = Optional.empty();

    /** Records that the store is reachable again after an outage. */
    public void onStoreRecovered(long nowMicros) {
        long end = nowMicros + RENEWAL_PERIOD_MICROS;
        renewalEndMicros = otherHostsReport
                .filter(s -> s.isRecent(nowMicros))
                .map(s -> Math.min(end, s.renewalEndMicros()))
                .orElse(end);
    }

    /**
     * Records that another entry host has reached the store without a failure since some time, until now. Live servers
     * have had the time from then on to renew their registrations.
     */
    public void onStoreReachedSince(long sinceMicros, long nowMicros) {
        if (otherHostsReport
                .filter(s -> s.isRecent(nowMicros) && s.sinceMicros() < sinceMicros)
                .isPresent()) {
            return;
        }
        ReachabilityReport latest = new ReachabilityReport(sinceMicros, nowMicros);
        otherHostsReport = Optional.of(latest);
        renewalEndMicros = Math.min(renewalEndMicros, latest.renewalEndMicros());
        graces.replaceAll((n, g) -> g.withRenewalUntil(latest.renewalEndMicros()));
    }

    /** Records that the store was restored from a copy; the next listing may be older than what is known. */
    public void onStoreRestored(long nowMicros) {
        restoreRenewalEndMicros = nowMicros + RENEWAL_PERIOD_MICROS;
        isRestored = true;
    }

    /**
     * Returns whether the servers must be listed again after {@link #RENEWAL_PERIOD_MICROS}: a rising sequence number,
     * by which a server proves that it lives, is no change that a watch returns.
     */
    public boolean awaitsProof() {
        return !unprovenSequences.isEmpty();
    }

    /** Replaces the known servers by a complete listing. */
    public void onListed(Map<String, StoredObject<RegisteredServer>> objects, long nowMicros) {
        Set<String> missing = new HashSet<>(servers.keySet());
        unprovenSequences.keySet().retainAll(objects.keySet());
        objects.forEach((name, o) -> o.value().ifPresent(r -> {
            missing.remove(name);
            if (isRestored) {
                putRestored(name, r);
            } else {
                put(name, r);
            }
        }));
        isRestored = false;
        remove(missing, nowMicros);
    }

    /** Applies changes in order. */
    public void onChanged(List<Change<RegisteredServer>> changes, long nowMicros) {
        Set<String> deleted = new HashSet<>();
        changes.forEach(c -> {
            String name = c.object().name();
            if (c.isDeleted() || c.object().value().isEmpty()) {
                deleted.add(name);
                unprovenSequences.remove(name);
            } else {
                deleted.remove(name);
                put(name, c.object().value().get());
            }
        });
        remove(deleted, nowMicros);
    }

    /** Removes servers whose registrations were not renewed in time; returns whether there were any. */
    public boolean expire(long nowMicros) {
        List<String> expired = graces.entrySet().stream()
                .filter(e -> nowMicros >= e.getValue().endMicros())
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(n -> drop(n, nowMicros));
        return !expired.isEmpty();
    }

    /** Returns the time in microseconds at which {@link #expire} is due, or {@link Long#MAX_VALUE}. */
    public long nextExpiryMicros() {
        return graces.values().stream().mapToLong(Grace::endMicros).min().orElse(Long.MAX_VALUE);
    }

    /** Returns the servers by service name, including draining ones. */
    public Map<String, List<RegisteredServer>> byService() {
        Map<String, List<RegisteredServer>> grouped = new LinkedHashMap<>();
        servers.values().forEach(r -> grouped.computeIfAbsent(r.service(), s -> new ArrayList<>())
                .add(r));
        return grouped;
    }

    private void put(String name, RegisteredServer server) {
        Long unproven = unprovenSequences.get(name);
        boolean isUnproven = unproven != null && server.sequence() <= unproven;
        if (isUnproven || isOutdated(servers.get(name), server) || isOfRemoved(server)) {
            return;
        }
        unprovenSequences.remove(name);
        servers.put(name, server);
        graces.remove(name);
    }

    /** Returns whether a registration is earlier than the known one of the same server process. */
    private boolean isOutdated(RegisteredServer known, RegisteredServer server) {
        if (known == null || !isSameProcess(known.server(), server.server())) {
            return false;
        }
        boolean revertsDrain = known.server().draining() && !server.server().draining();
        boolean hasSequence = server.sequence() > 0;
        return server.sequence() < known.sequence()
                || revertsDrain && server.sequence() == known.sequence() && (hasSequence || isRestored);
    }

    /** A server that starts again begins to count anew; it has another name, or at least another address. */
    private static boolean isSameProcess(BackendServer a, BackendServer b) {
        return a.name().equals(b.name()) && a.host().equals(b.host()) && a.port() == b.port();
    }

    /** Returns whether a registration is not later than what was known of a server when it was removed. */
    private boolean isOfRemoved(RegisteredServer server) {
        Removal removal = removals.get(server.server().name());
        return removal != null && server.sequence() > 0 && server.sequence() <= removal.sequence();
    }

    /** Holds back a server from a restored store that was already removed. */
    private void putRestored(String name, RegisteredServer server) {
        boolean isRemoved = !servers.containsKey(name)
                && removals.containsKey(server.server().name());
        if (isRemoved) {
            unprovenSequences.put(name, server.sequence());
        } else {
            put(name, server);
        }
    }

    private void drop(String name, long nowMicros) {
        RegisteredServer dropped = servers.remove(name);
        graces.remove(name);
        removals.values().removeIf(r -> nowMicros - r.micros() > REMOVAL_MEMORY_MICROS);
        removals.put(dropped.server().name(), new Removal(nowMicros, dropped.sequence()));
    }

    private void remove(Set<String> names, long nowMicros) {
        Set<String> expiredServices = massExpired(names);
        names.forEach(n -> {
            RegisteredServer known = servers.get(n);
            if (known == null) {
                return;
            }
            Grace grace = grace(expiredServices.contains(known.service()), nowMicros);
            if (known.server().draining() || grace.endMicros() <= nowMicros) {
                drop(n, nowMicros);
            } else {
                graces.putIfAbsent(n, grace);
            }
        });
    }

    private Grace grace(boolean isMassExpiry, long nowMicros) {
        long massExpiryEnd = isMassExpiry ? nowMicros + MASS_EXPIRY_GRACE_MICROS : 0;
        return new Grace(Math.max(massExpiryEnd, restoreRenewalEndMicros), renewalEndMicros);
    }

    /** Returns the services that lost so many servers at once that the registrations have probably expired. */
    private Set<String> massExpired(Set<String> names) {
        Map<String, Integer> lost = new HashMap<>();
        names.stream()
                .map(servers::get)
                .filter(r -> r != null && !r.server().draining())
                .forEach(r -> lost.merge(r.service(), 1, Integer::sum));
        Set<String> found = new HashSet<>();
        lost.forEach((service, count) -> {
            long all = servers.values().stream()
                    .filter(r -> r.service().equals(service))
                    .count();
            if (count >= MASS_EXPIRY_MIN_SERVERS && count >= all * MASS_EXPIRY_FRACTION) {
                found.add(service);
            }
        });
        return found;
    }
}
