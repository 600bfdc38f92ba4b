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
import org.hyssophitch.core.store.StepRunner;
import org.hyssophitch.core.store.StepRunner.Step;
import org.hyssophitch.core.store.StorePage;
import org.hyssophitch.core.store.StoreResult;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.core.store.Timers;
import org.tinylog.Logger;

/**
 * Registers this entry host in the store and periodically lists the registered hosts. Not thread-safe; confined to the
 * event loop.
 *
 * <p>The object is fenced by the process's incarnation. An object with an earlier incarnation is replaced by
 * compare-and-set on its revision. For one with a later incarnation this process first raises its own above it, and
 * leaves the object alone if it can't. After a call without a response the objects are listed again, so the outcome of
 * that call doesn't matter.
 */
final class Registration {

    /** Interval in microseconds between two lists of the hosts, which also detect whether the store is reachable. */
    private static final long LIST_INTERVAL_MICROS = 3_000_000;
    /** Number of hosts for which the interval is extended by its length, so that the fleet's calls don't grow. */
    private static final int HOSTS_PER_LIST_INTERVAL = 16;
    /** Lists after the start whose interval isn't extended, as the members are only becoming known then. */
    private static final int INITIAL_LISTS = 3;

    /** Consecutive lists without this host's object after which the object counts as deleted. */
    private static final int MAX_MISSING_LISTS = 2;

    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1_500;
    private static final long MICROS_PER_MILLI = 1_000;

    private final ObjectStore store;
    private final ObjectKind<EntryHost> kind;
    private final String host;
    private final Peers peers;
    private final Backoff backoff;
    private final StepRunner steps;
    private final Runnable onStoreRecovered;
    private Map<String, StoredObject<EntryHost>> listed = new HashMap<>();
    private int missingLists;
    private int completedLists;
    private boolean isRegistered;
    /** Revision of this process's object as far as it is known; 0 if it isn't. */
    private long ownRevision;

    /** Whether the next list has to be current: this host's object differed from the one in the last list. */
    private boolean needsCurrentList;

    private boolean hasFailed;

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
        this.peers = peers;
        this.onStoreRecovered = onStoreRecovered;
        this.backoff = new Backoff(INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random);
        this.steps = new StepRunner(timers, random, () -> listHosts(""), this::onStepFailed);
    }

    /** Lists the other hosts and registers this one. */
    void start() {
        steps.run(() -> listHosts(""));
    }

    /** Lists again if the current step is overdue. */
    void checkProgress() {
        steps.checkProgress();
    }

    /**
     * Deletes the object if it is still this process's; the process exits whether or not this succeeds. Its successor
     * may already have replaced the object when a delayed call takes effect, and what is left behind is deleted by
     * another host or replaced by the successor.
     */
    void stop() {
        steps.stop();
        if (ownRevision == 0) {
            Logger.info("the registration of {} is left to other hosts: its revision isn't known", host);
            return;
        }
        store.delete(
                kind, host, ownRevision, r -> Logger.info("deletion of the registration of {}: {}", host, describe(r)));
    }

    /** Registers this host again, because the registration may be missing from the restored store. */
    void onStoreRestored() {
        isRegistered = false;
    }

    private void register() {
        missingLists = 0;
        store.create(kind, host, peers.self(), steps.begin(Step.WRITE, 0, this::onWritten));
    }

    /** Lists again soon: after a first start of all hosts, the first list lacks those that registered after it. */
    private void onWritten(StoreResult<StoredObject<EntryHost>> result) {
        isRegistered = result instanceof StoreResult.Done<StoredObject<EntryHost>>;
        ownRevision = result instanceof StoreResult.Done<StoredObject<EntryHost>> d
                ? d.value().revision()
                : 0;
        needsCurrentList = !isRegistered;
        steps.pause(backoff.nextMillis() * MICROS_PER_MILLI, () -> listHosts(""));
    }

    /**
     * Lists one page. A list that may be seconds old costs a tenth of a current one. It is enough to learn of the other
     * hosts, and to register unless this host's own object has just been written.
     */
    private void listHosts(String after) {
        if (after.isEmpty()) {
            listed = new HashMap<>();
        }
        store.list(kind, after, !needsCurrentList, steps.begin(Step.LIST, 0, this::onPage));
    }

    private void onPage(StoreResult<StorePage<EntryHost>> result) {
        if (!(result instanceof StoreResult.Done<StorePage<EntryHost>> done)) {
            hasFailed = true;
            steps.pause(backoff.nextMillis() * MICROS_PER_MILLI, () -> listHosts(""));
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
        steps.onHandled();
        if (isRegistered) {
            steps.pause(listIntervalMicros(), () -> listHosts(""));
        } else {
            replaceOwnObject();
        }
    }

    /** Large fleets list less often: the members of a fleet also learn of new hosts from each other. */
    private long listIntervalMicros() {
        completedLists++;
        boolean isStarting = completedLists <= INITIAL_LISTS;
        return LIST_INTERVAL_MICROS * Math.max(1, isStarting ? 1 : peers.live().size() / HOSTS_PER_LIST_INTERVAL);
    }

    /** Requires several lists without the object, because a list may be older than the registration. */
    private void checkOwnObjectListed() {
        missingLists = listed.containsKey(host) ? 0 : missingLists + 1;
        if (isRegistered && missingLists >= MAX_MISSING_LISTS) {
            Logger.warn("registration of {} is missing from the store; registering again", host);
            isRegistered = false;
        }
    }

    private void replaceOwnObject() {
        StoredObject<EntryHost> known = listed.get(host);
        if (known == null) {
            register();
            return;
        }
        long incarnation = known.value().map(EntryHost::incarnation).orElse(0L);
        boolean isOwn = incarnation == peers.self().incarnation();
        ownRevision = isOwn ? known.revision() : ownRevision;
        if (isOwn || !peers.raiseIncarnationAbove(incarnation)) {
            isRegistered = true;
            steps.pause(listIntervalMicros(), () -> listHosts(""));
            return;
        }
        store.replace(kind, host, peers.self(), known.revision(), steps.begin(Step.WRITE, 0, this::onWritten));
    }

    /** Deletes the objects of stopped processes; only the accepting host whose name sorts first does this. */
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
                            r -> Logger.info(
                                    "deletion of the registration of stopped host {}: {}", o.name(), describe(r)))));
        }
    }

    private void onStepFailed(Step step, String cause) {
        Logger.warn("registration of {}: step {} failed and the hosts are listed again: {}", host, step, cause);
    }

    private static String describe(StoreResult<?> result) {
        return result.getClass().getSimpleName();
    }
}
