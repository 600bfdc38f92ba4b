package org.hyssophitch.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.hyssophitch.core.store.StoredObject;

/**
 * The backend servers that this entry host believes in, by what they registered in the store. Not thread-safe.
 *
 * <p>A registration that is deleted ends the belief at once, but for one case: registrations lapse while the store is
 * away, and live servers renew them within about two seconds of its return. So what disappears around an outage, or
 * along with many others, is believed in for a short time more; a server that said that it leaves is not.
 */
public final class ServerRegistry {

    /** Time in microseconds after the store's return within which live servers have renewed their registrations. */
    private static final long RENEWAL_MICROS = 2_000_000;
    /** Time in microseconds for which registrations are believed in that disappeared with many others. */
    private static final long MASS_LAPSE_MICROS = 1_200_000;
    /** Part of a service's servers that don't disappear at once by being taken away. */
    private static final double MASS_PART = 0.4;

    private static final int MASS_LEAST = 3;

    private final Map<String, RegisteredServer> servers = new TreeMap<>();
    private final Map<String, Long> doubtfulUntil = new HashMap<>();
    private long renewalEndsMicros;

    /** Notes that the store can be reached again after an outage. */
    public void onStoreRecovered(long nowMicros) {
        renewalEndsMicros = nowMicros + RENEWAL_MICROS;
    }

    /** Takes over a complete list. */
    public void onListed(Map<String, StoredObject<RegisteredServer>> objects, long nowMicros) {
        Set<String> missing = new HashSet<>(servers.keySet());
        objects.forEach((name, o) -> o.value().ifPresent(r -> {
            missing.remove(name);
            put(name, r);
        }));
        remove(missing, nowMicros);
    }

    /** Takes over changes. */
    public void onChanged(List<Change<RegisteredServer>> changes, long nowMicros) {
        Set<String> gone = new HashSet<>();
        changes.forEach(c -> {
            String name = c.object().name();
            if (c.isDeleted() || c.object().value().isEmpty()) {
                gone.add(name);
            } else {
                gone.remove(name);
                put(name, c.object().value().get());
            }
        });
        remove(gone, nowMicros);
    }

    /** Drops registrations that were not renewed in time; returns whether there were any. */
    public boolean expire(long nowMicros) {
        List<String> expired = doubtfulUntil.entrySet().stream()
                .filter(e -> nowMicros >= e.getValue())
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(n -> {
            servers.remove(n);
            doubtfulUntil.remove(n);
        });
        return !expired.isEmpty();
    }

    /** Returns the time in microseconds at which {@link #expire} is due, or {@link Long#MAX_VALUE}. */
    public long nextExpiryMicros() {
        return doubtfulUntil.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
    }

    /** Returns the servers by the name of their service; those that leave are marked as draining. */
    public Map<String, List<RegisteredServer>> byService() {
        Map<String, List<RegisteredServer>> grouped = new LinkedHashMap<>();
        servers.values().forEach(r -> grouped.computeIfAbsent(r.service(), s -> new ArrayList<>())
                .add(r));
        return grouped;
    }

    private void put(String name, RegisteredServer server) {
        servers.put(name, server);
        doubtfulUntil.remove(name);
    }

    private void remove(Set<String> names, long nowMicros) {
        Set<String> mass = massLapsed(names);
        names.forEach(n -> {
            RegisteredServer known = servers.get(n);
            if (known == null) {
                return;
            }
            long until = doubtfulUntil(mass.contains(known.service()), nowMicros);
            if (known.server().draining() || until <= nowMicros) {
                servers.remove(n);
                doubtfulUntil.remove(n);
            } else {
                doubtfulUntil.putIfAbsent(n, until);
            }
        });
    }

    private long doubtfulUntil(boolean isMassLapse, long nowMicros) {
        long byMass = isMassLapse ? nowMicros + MASS_LAPSE_MICROS : 0;
        return Math.max(byMass, renewalEndsMicros);
    }

    /** Returns the services that lost so many servers at once that their registrations probably lapsed. */
    private Set<String> massLapsed(Set<String> names) {
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
            if (count >= MASS_LEAST && count >= all * MASS_PART) {
                found.add(service);
            }
        });
        return found;
    }
}
