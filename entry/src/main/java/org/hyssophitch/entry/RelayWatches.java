package org.hyssophitch.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.hyssophitch.core.store.RelayedView;

/**
 * The watches of all kinds of objects of this host, each of which learns from the others what a relay has shown. Not
 * thread-safe; confined to the event loop.
 */
final class RelayWatches {

    private final Map<String, RelayedSource<?>> sources = new LinkedHashMap<>();
    private final Consumer<String> onLeaseExpired;

    /**
     * Creates a group without watches.
     *
     * @param onLeaseExpired called with the kind of a watch that left its relay because its lease had ended
     */
    RelayWatches(Consumer<String> onLeaseExpired) {
        this.onLeaseExpired = onLeaseExpired;
    }

    void add(String kind, RelayedSource<?> source) {
        sources.put(kind, source);
    }

    /** Returns the watches by kind. */
    Map<String, RelayedSource<?>> byKind() {
        return sources;
    }

    /** Lets all watches leave a relay that has failed one of them. */
    void onRelayFailed(String relay) {
        sources.values().forEach(s -> s.onRelayFailed(relay));
    }

    /** Lets all watches leave a relay that may have missed changes of any kind. */
    void onTurnedAway(String relay) {
        sources.values().forEach(s -> s.onTurnedAway(relay));
    }

    /** Lets all watches leave a relay that hasn't shown in time that a view is current. */
    void onLeaseExpired(String kind, String relay) {
        onLeaseExpired.accept(kind);
        onRelayFailed(relay);
    }

    /** Renews the leases of the watches through a relay by what it states in an answer about one kind. */
    void onViews(String relay, List<RelayedView> views, long sentMicros) {
        sources.forEach((kind, source) ->
                views.stream().filter(v -> v.kind().equals(kind)).forEach(v -> source.onView(relay, v, sentMicros)));
    }

    /** Renews the leases of the watches through a relay of an earlier release, which only shows that it answers. */
    void onAnswerWithoutViews(String relay) {
        sources.values().forEach(s -> s.onAnswerWithoutViews(relay));
    }
}
