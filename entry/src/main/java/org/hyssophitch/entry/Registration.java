package org.hyssophitch.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.entry.EntryHost;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.retry.Backoff;
import org.hyssophitch.core.store.ObjectKind;
import org.hyssophitch.core.store.ObjectStore;
import org.hyssophitch.core.store.StorePage;
import org.hyssophitch.core.store.StoreResult;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.core.store.Timers;
import org.tinylog.Logger;

/**
 * This entry host's object in the store, and the list of the others'. Not thread-safe; lives on the event loop.
 *
 * <p>The object is fenced by the process's incarnation: an object of a later incarnation is left alone, one of an
 * earlier incarnation is replaced at the revision that was read. After a call whose answer is lost the object is read
 * again, so it doesn't matter whether the call was done.
 */
final class Registration {

    /** Time in microseconds between two looks at the others' objects; they show too whether the store is there. */
    private static final long LIST_INTERVAL_MICROS = 3_000_000;

    /** Lists in a row without this host's object after which it counts as gone. */
    private static final int MAX_MISSING_LISTS = 2;

    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1_500;
    private static final long MICROS_PER_MILLI = 1_000;

    private final ObjectStore store;
    private final ObjectKind<EntryHost> kind;
    private final String host;
    private final Timers timers;
    private final Peers peers;
    private final Backoff backoff;
    private final Runnable onStoreRecovered;
    private Map<String, StoredObject<EntryHost>> listed = new HashMap<>();
    private int missingLists;
    private boolean isRegistered;
    private boolean hasFailed;
    private boolean isStopped;

    Registration(
            ObjectStore store,
            ObjectKind<EntryHost> kind,
            String host,
            Timers timers,
            Peers peers,
            Runnable onStoreRecovered,
            RandomGenerator random) {
        this.store = store;
        this.kind = kind;
        this.host = host;
        this.timers = timers;
        this.peers = peers;
        this.onStoreRecovered = onStoreRecovered;
        this.backoff = new Backoff(INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random);
    }

    void start() {
        register();
    }

    /** Removes the object; the process ends whatever comes of it. */
    void stop() {
        isStopped = true;
        store.delete(kind, host, 0, r -> Logger.info("registration removed: {}", describe(r)));
    }

    private void register() {
        if (!isStopped) {
            missingLists = 0;
            store.create(kind, host, peers.self(), this::onCreated);
        }
    }

    private void onCreated(StoreResult<StoredObject<EntryHost>> result) {
        if (result instanceof StoreResult.Done<StoredObject<EntryHost>>) {
            isRegistered = true;
        }
        listHosts("");
    }

    /** The list may be seconds old where only the others are looked for, which costs a tenth. */
    private void listHosts(String after) {
        if (after.isEmpty()) {
            listed = new HashMap<>();
        }
        if (!isStopped) {
            store.list(kind, after, isRegistered, this::onPage);
        }
    }

    private void onPage(StoreResult<StorePage<EntryHost>> result) {
        if (!(result instanceof StoreResult.Done<StorePage<EntryHost>> done)) {
            hasFailed = true;
            timers.after(backoff.nextMillis() * MICROS_PER_MILLI, () -> listHosts(""));
            return;
        }
        done.value().items().forEach(o -> listed.put(o.name(), o));
        if (done.value().hasMore()) {
            listHosts(done.value().lastName());
            return;
        }
        backoff.reset();
        if (hasFailed) {
            hasFailed = false;
            onStoreRecovered.run();
        }
        peers.onListed(listed);
        deleteDeadHosts();
        checkOwnObjectListed();
        if (isRegistered) {
            timers.after(LIST_INTERVAL_MICROS, () -> listHosts(""));
        } else {
            replaceOwnObject();
        }
    }

    /** A list may be older than the registration, so that one without it tells nothing yet. */
    private void checkOwnObjectListed() {
        missingLists = listed.containsKey(host) ? 0 : missingLists + 1;
        if (isRegistered && missingLists >= MAX_MISSING_LISTS) {
            Logger.warn("registration of {} is gone from the store", host);
            isRegistered = false;
        }
    }

    private void replaceOwnObject() {
        StoredObject<EntryHost> known = listed.get(host);
        if (known == null) {
            timers.after(backoff.nextMillis() * MICROS_PER_MILLI, this::register);
            return;
        }
        long incarnation = known.value().map(EntryHost::incarnation).orElse(0L);
        if (incarnation == peers.self().incarnation() || !peers.raiseIncarnationAbove(incarnation)) {
            isRegistered = true;
            timers.after(LIST_INTERVAL_MICROS, () -> listHosts(""));
            return;
        }
        store.replace(kind, host, peers.self(), known.revision(), r -> {
            isRegistered = r instanceof StoreResult.Done<StoredObject<EntryHost>>;
            timers.after(backoff.nextMillis() * MICROS_PER_MILLI, () -> listHosts(""));
        });
    }

    /** The first of the live hosts removes the objects of processes that are known to have ended. */
    private void deleteDeadHosts() {
        boolean isFirst = peers.accepting().stream()
                .map(Member::host)
                .min(String::compareTo)
                .filter(host::equals)
                .isPresent();
        if (isFirst) {
            peers.dead().forEach(m -> Optional.ofNullable(listed.get(m.host()))
                    .filter(o -> o.value()
                            .filter(h -> h.incarnation() == m.incarnation())
                            .isPresent())
                    .ifPresent(o -> store.delete(
                            kind,
                            o.name(),
                            o.revision(),
                            r -> Logger.info("registration of ended host {} removed: {}", o.name(), describe(r)))));
        }
    }

    private static String describe(StoreResult<?> result) {
        return result.getClass().getSimpleName();
    }
}
