package org.hyssophitch.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.store.ChangeSource;
import org.hyssophitch.core.store.RelaySelector;
import org.hyssophitch.core.store.RelayedView;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StoreContact;
import org.hyssophitch.core.store.StorePage;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.StoreResult;
import org.hyssophitch.core.store.Timers;
import org.hyssophitch.core.store.ViewLease;
import org.hyssophitch.wire.codec.RelayCodec;
import org.tinylog.Logger;

/**
 * Reads one kind of objects from the store or through a relay. Not thread-safe; confined to the event loop.
 *
 * <p>Objects are listed at the store, and through a relay if the store turns this host away. Changes are watched
 * through a relay, and at the store if this host is to do so, the relay doesn't answer, or no relay has shown lately
 * that this host's view is complete. Positions are always those of the store, so a watcher can change between both at
 * any time. A relay that turns this host away may have missed changes, and so may a watch that begins at that moment:
 * then the objects are listed.
 *
 * @param <T> type of the decoded value
 */
final class RelayedSource<T> implements ChangeSource<T> {

    /**
     * What the sources of all kinds share.
     *
     * @param selector chooses the relay
     * @param contact when the store last answered this host
     * @param caller sends requests to relays
     * @param watches the watches of all kinds, to which this one is added
     */
    record Shared(
            RelaySelector selector, StoreContact contact, RelayCaller caller, RelayWatches watches, Timers timers) {}

    private static final long NONE = Long.MIN_VALUE / 2;
    private static final String NO_RELAY = "";

    private final String kind;
    private final ChangeSource<T> store;
    private final RelayCodec<T> codec;
    private final RelaySelector selector;
    private final StoreContact contact;
    private final RelayCaller caller;
    private final RelayWatches watches;
    private final Timers timers;
    private final ViewLease lease;
    /** Identifies the current watch; the end of an earlier one is ignored. */
    private long watchId;
    /** State of the store in microseconds that the latest listing shows; it counts once the listing is taken over. */
    private long listedMicros = NONE;
    /** Time in microseconds since which a watch waits at the store. */
    private long waitingAtStoreMicros = NONE;

    private StorePosition watchedSince = StorePosition.NONE;
    private String currentRelay = NO_RELAY;
    private Runnable restart = () -> {};
    private Runnable listAgain = () -> {};

    /**
     * Creates a source.
     *
     * @param kind name of the kind
     * @param store the store as the source of the kind
     * @param lease bounds the age of this host's view
     */
    RelayedSource(String kind, ChangeSource<T> store, RelayCodec<T> codec, ViewLease lease, Shared shared) {
        this.kind = kind;
        this.store = store;
        this.codec = codec;
        this.lease = lease;
        this.selector = shared.selector();
        this.contact = shared.contact();
        this.caller = shared.caller();
        this.watches = shared.watches();
        this.timers = shared.timers();
    }

    @Override
    public void list(String after, boolean allowStale, Consumer<StoreResult<StorePage<T>>> onResult) {
        leaveWatch();
        long sentMicros = timers.nowMicros();
        store.list(after, allowStale, r -> {
            boolean hasFailed = observeStore(r);
            if (after.isEmpty()) {
                listedMicros = sentMicros;
            }
            Optional<Member> relay = hasFailed ? selector.otherRelay(timers.nowMicros()) : Optional.empty();
            relay.ifPresentOrElse(m -> listThrough(m, r, onResult), () -> onResult.accept(r));
        });
    }

    private void listThrough(
            Member relay, StoreResult<StorePage<T>> fromStore, Consumer<StoreResult<StorePage<T>>> onResult) {
        RelayCaller.Decoder<StorePage<T>> decoder = b -> new StoreResult.Done<>(codec.decodeObjects(b));
        caller.call(relay, new RelayRequest.Objects(kind), 0, decoder, answer -> {
            answer.ifPresent(a -> listedMicros = a.views().stream()
                    .filter(v -> v.kind().equals(kind))
                    .mapToLong(v -> ownClockMicros(v, a.sentMicros()))
                    .findFirst()
                    .orElse(a.sentMicros()));
            onResult.accept(answer.map(RelayCaller.Answer::result).orElse(fromStore));
        });
    }

    @Override
    public void watch(StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<T>>> onResult) {
        leaveWatch();
        lease.renew(listedMicros);
        listedMicros = NONE;
        long now = timers.nowMicros();
        Optional<Member> relay = lease.isUsable(now) ? selector.relay(now) : Optional.empty();
        currentRelay = relay.map(Member::host).orElse(NO_RELAY);
        watchedSince = since;
        restart = () -> watch(since, waitMillis, onResult);
        listAgain = () -> onResult.accept(new StoreResult.HistoryGone<>());
        relay.ifPresentOrElse(
                m -> watchThrough(m, new RelayRequest.Changes(kind, since, waitMillis), onResult),
                () -> watchStore(since, waitMillis, onResult));
    }

    @Override
    public void readChanges(StorePosition since, Consumer<StoreResult<StoreChanges<T>>> onResult) {
        store.readChanges(since, r -> {
            observeStore(r);
            onResult.accept(r);
        });
    }

    /** Returns the time in microseconds up to which this host's view is known to be complete. */
    long completeMicros() {
        return Math.max(lease.completeMicros(), contact.completeMicros(waitingAtStoreMicros));
    }

    /** Lets a watch that waits for a failed relay choose another source. */
    void onRelayFailed(String relay) {
        if (currentRelay.equals(relay)) {
            restart.run();
        }
    }

    /** Ends a watch that waits for a relay which may have missed changes; a new watch could miss them too. */
    void onTurnedAway(String relay) {
        if (currentRelay.equals(relay)) {
            leaveWatch();
            listAgain.run();
        }
    }

    /** Takes over what the current relay states, unless it has passed on changes that haven't arrived yet. */
    void onView(String relay, RelayedView view, long sentMicros) {
        boolean hasAll =
                view.position().isSameEpoch(watchedSince) && view.position().revision() <= watchedSince.revision();
        if (currentRelay.equals(relay) && hasAll) {
            lease.renew(ownClockMicros(view, sentMicros));
        }
    }

    /** Takes over that the current relay, which is of an earlier release, has answered. */
    void onAnswerWithoutViews(String relay) {
        if (currentRelay.equals(relay)) {
            lease.renew(timers.nowMicros());
        }
    }

    private void leaveWatch() {
        watchId++;
        currentRelay = NO_RELAY;
        waitingAtStoreMicros = NONE;
    }

    private void watchThrough(
            Member relay, RelayRequest.Changes request, Consumer<StoreResult<StoreChanges<T>>> onResult) {
        long current = watchId;
        RelayCaller.Decoder<StoreChanges<T>> decoder = b -> codec.decodeChanges(b)
                .<StoreResult<StoreChanges<T>>>map(StoreResult.Done::new)
                .orElseGet(StoreResult.HistoryGone::new);
        awaitLeaseEnd(relay.host(), current);
        caller.call(relay, request, request.waitMillis(), decoder, answer -> {
            if (current != watchId) {
                return;
            }
            if (answer.isEmpty()) {
                watches.onRelayFailed(relay.host());
                return;
            }
            observeViews(relay.host(), answer.get());
            leaveWatch();
            if (selector.isAvoided(relay.host(), timers.nowMicros())) {
                watches.onTurnedAway(relay.host());
            }
            onResult.accept(answer.get().result());
        });
    }

    /** Renews this view's lease by an answer that is about to be taken over, and those of the other kinds. */
    private void observeViews(String relay, RelayCaller.Answer<StoreChanges<T>> answer) {
        if (!(answer.result() instanceof StoreResult.Done<StoreChanges<T>> done)) {
            return;
        }
        watchedSince = done.value().position();
        if (answer.views().isEmpty()) {
            watches.onAnswerWithoutViews(relay);
        } else {
            watches.onViews(relay, answer.views(), answer.sentMicros());
        }
    }

    private void awaitLeaseEnd(String relay, long id) {
        timers.after(lease.remainingMicros(timers.nowMicros()), () -> {
            if (id != watchId) {
                return;
            }
            long now = timers.nowMicros();
            if (lease.remainingMicros(now) > 0) {
                awaitLeaseEnd(relay, id);
                return;
            }
            Logger.info(
                    "relay {} has not shown for {} ms that the view of {} is current",
                    relay,
                    TimeUnit.MICROSECONDS.toMillis(now - lease.completeMicros()),
                    kind);
            selector.onRelayFailed(relay, now);
            watches.onLeaseExpired(kind, relay);
        });
    }

    private void watchStore(StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<T>>> onResult) {
        long current = watchId;
        long sentMicros = timers.nowMicros();
        long ageMillis = TimeUnit.MICROSECONDS.toMillis(sentMicros - completeMicros());
        int wait = selector.pacing(sentMicros).storeWaitMillis(waitMillis, ageMillis);
        waitingAtStoreMicros = sentMicros;
        store.watch(since, wait, r -> {
            observeStore(r);
            if (current == watchId && r instanceof StoreResult.Done<StoreChanges<T>> done) {
                boolean hasChanges = !done.value().changes().isEmpty();
                long waitMicros = TimeUnit.MILLISECONDS.toMicros(wait);
                lease.renew(contact.onWatchAnswered(sentMicros, waitMicros, hasChanges, timers.nowMicros()));
                leaveWatch();
            }
            onResult.accept(r);
        });
    }

    /** Tells the selector whether the store serves this host; returns whether the call failed. */
    private boolean observeStore(StoreResult<?> result) {
        boolean hasFailed = result instanceof StoreResult.Refused || result instanceof StoreResult.MayBeDone;
        long now = timers.nowMicros();
        if (hasFailed) {
            selector.onStoreFailed(now);
            contact.onFailed(now);
        } else {
            selector.onStoreAnswered();
        }
        return hasFailed;
    }

    /** Returns up to when a view is complete, by this host's clock; a delay of the request makes it earlier. */
    private static long ownClockMicros(RelayedView view, long sentMicros) {
        return sentMicros + TimeUnit.MILLISECONDS.toMicros(view.completeMillis());
    }
}
