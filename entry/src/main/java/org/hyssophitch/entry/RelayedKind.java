package org.hyssophitch.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;

import org.hyssophitch.core.store.ChangeLog;
import org.hyssophitch.core.store.KindWatcher;
import org.hyssophitch.core.store.RelayedView;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.Timers;
import org.hyssophitch.wire.codec.RelayCodec;
import org.hyssophitch.wire.codec.RelayedViewCodec;
import org.hyssophitch.wire.net.HttpReply;
import org.tinylog.Logger;

/**
 * Answers other entry hosts that read one kind of objects through this host. Not thread-safe; confined to the event
 * loop.
 *
 * <p>An answer without changes is given only while the store has recently confirmed that there are none; otherwise the
 * other host is turned away and lists the objects at the store. A host that waits is answered when the store confirms
 * that there are no changes, so that its view is as current as this one.
 *
 * @param <T> type of the decoded value
 */
final class RelayedKind<T> {

    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final String CONTENT_TYPE = "application/x-protobuf";

    private record Waiting(StorePosition since, long arrivalMicros, CompletableFuture<HttpReply> reply) {}

    private final KindWatcher<T> watcher;
    private final RelayCodec<T> codec;
    private final BooleanSupplier isStoreReachable;
    private final LongFunction<List<RelayedView>> views;
    private final Timers timers;
    private final Deque<Waiting> waiting = new ArrayDeque<>();

    /**
     * Creates the relay of one kind.
     *
     * @param watcher watches the kind at the store
     * @param isStoreReachable tells whether the store has recently answered a call of any kind
     * @param views returns what this host states about its views, counted from a time in microseconds
     */
    RelayedKind(
            KindWatcher<T> watcher,
            RelayCodec<T> codec,
            BooleanSupplier isStoreReachable,
            LongFunction<List<RelayedView>> views,
            Timers timers) {
        this.watcher = watcher;
        this.codec = codec;
        this.isStoreReachable = isStoreReachable;
        this.views = views;
        this.timers = timers;
        watcher.changeLog().setObserver(this::answerWaiting);
    }

    KindWatcher<T> watcher() {
        return watcher;
    }

    /** Answers a request at once, or later if it waits for changes. */
    CompletionStage<HttpReply> handle(RelayRequest request) {
        return switch (request) {
            case RelayRequest.Objects o -> CompletableFuture.completedFuture(objects());
            case RelayRequest.Changes c -> changes(c.since(), c.waitMillis());
        };
    }

    private HttpReply objects() {
        return isCurrent()
                ? reply(codec.encodeObjects(log().objects(), log().position()), timers.nowMicros())
                : HttpReply.empty(UNAVAILABLE);
    }

    private CompletionStage<HttpReply> changes(StorePosition since, int waitMillis) {
        Waiting w = new Waiting(since, timers.nowMicros(), new CompletableFuture<>());
        if (!answerIfChanged(w)) {
            watcher.renewWatch();
            waiting.add(w);
            timers.after(TimeUnit.MILLISECONDS.toMicros(waitMillis), () -> endWait(w));
        }
        return w.reply();
    }

    private void answerWaiting() {
        List.copyOf(waiting).stream().filter(this::answerOrTurnAway).forEach(waiting::remove);
        if (!waiting.isEmpty()) {
            // Other answers of the store that have arrived are handled first: they may contain changes of this kind.
            timers.after(0, () -> List.copyOf(waiting).forEach(this::confirm));
        }
    }

    /** A failure to answer another host must not spoil the handling of the change in this one. */
    private boolean answerOrTurnAway(Waiting w) {
        try {
            return answerIfChanged(w);
        } catch (RuntimeException | OutOfMemoryError e) {
            Logger.warn("cannot answer a relayed watch: {}", e.toString());
            return w.reply().complete(HttpReply.empty(UNAVAILABLE));
        }
    }

    /** Answers a host that has missed changes or can't be told which; returns whether it was answered. */
    private boolean answerIfChanged(Waiting w) {
        if (!log().isConfirmed()) {
            return w.reply().complete(HttpReply.empty(UNAVAILABLE));
        }
        if (w.since().epoch() > log().position().epoch()) {
            watcher.onEpoch(w.since().epoch());
            return w.reply().complete(HttpReply.empty(UNAVAILABLE));
        }
        Optional<StoreChanges<T>> changes = log().since(w.since());
        if (changes.isEmpty()) {
            return w.reply().complete(HttpReply.empty(GONE));
        }
        return !changes.get().changes().isEmpty()
                && w.reply().complete(reply(codec.encodeChanges(changes.get()), w.arrivalMicros()));
    }

    private void endWait(Waiting w) {
        if (!isCurrent() && waiting.remove(w)) {
            w.reply().complete(HttpReply.empty(UNAVAILABLE));
        } else {
            confirm(w);
        }
    }

    /** Tells a host that waits that there are no changes. */
    private void confirm(Waiting w) {
        if (isCurrent() && waiting.remove(w)) {
            StoreChanges<T> none = new StoreChanges<>(List.of(), log().position());
            w.reply().complete(reply(codec.encodeChanges(none), w.arrivalMicros()));
        }
    }

    private boolean isCurrent() {
        return log().isConfirmed() && isStoreReachable.getAsBoolean();
    }

    private ChangeLog<T> log() {
        return watcher.changeLog();
    }

    private HttpReply reply(byte[] body, long arrivalMicros) {
        return HttpReply.binary(OK, CONTENT_TYPE, RelayedViewCodec.append(body, views.apply(arrivalMicros)));
    }
}
