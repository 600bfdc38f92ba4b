package org.hyssophitch.core.statement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * The entry hosts as this host has known them lately. Not thread-safe; confined to the call engine.
 *
 * <p>Hosts hear of a change at different times. A host that takes a new share at once would use it while the former
 * owner still does, so it takes a share only if it has had it in every view of the last {@value #SETTLE_MICROS} us, and
 * then the smallest. It gives up a share at once. A host that knows at most half of the hosts that it has ever known at
 * the same time may be cut off from the others and has no share: at most one side of a partition then has one.
 */
public final class HostViews {

    /** Time in microseconds within which all hosts have heard of a change, with a margin. */
    static final long SETTLE_MICROS = 3_000_000;
    /** Time in microseconds within which views replace each other, so that few are kept while many hosts join. */
    private static final long MERGE_MICROS = 250_000;

    private record View(long sinceMicros, KnownHosts hosts) {}

    private final Deque<View> views = new ArrayDeque<>();
    private int peak;

    /** Records that this host knows other hosts than before. */
    public void add(KnownHosts hosts, long nowMicros) {
        peak = Math.max(peak, hosts.zoneByHost().size());
        boolean isMerged = views.size() > 1 && nowMicros - views.getLast().sinceMicros() < MERGE_MICROS;
        long since = isMerged ? views.removeLast().sinceMicros() : nowMicros;
        views.addLast(new View(views.isEmpty() ? Long.MIN_VALUE : since, hosts));
        expire(nowMicros);
    }

    /** Returns the smallest share in all recent views; none if any of them gives none. */
    LimitShare smallest(Function<KnownHosts, LimitShare> share, long nowMicros) {
        expire(nowMicros);
        if (views.isEmpty() || isMinority()) {
            return LimitShare.NONE;
        }
        LimitShare smallest = new LimitShare(Double.MAX_VALUE, Double.MAX_VALUE);
        for (View v : views) {
            LimitShare s = share.apply(v.hosts());
            if (s.burst() <= 0) {
                return LimitShare.NONE;
            }
            smallest = new LimitShare(
                    Math.min(smallest.perSecond(), s.perSecond()), Math.min(smallest.burst(), s.burst()));
        }
        return smallest;
    }

    /** Returns whether this host knows no other one, or did so until recently, although there are others. */
    public boolean isLone(long nowMicros) {
        expire(nowMicros);
        return views.stream().anyMatch(v -> v.hosts().isAloneAmongMany())
                || !views.isEmpty() && current().zoneByHost().size() == 1 && peak > 1;
    }

    /** Returns the share of one of the hosts that have to be assumed, of which this host knows none. */
    LimitShare ofLone(SharedLimit limit) {
        return new LimitShare(limit.perSecond() / Math.max(peak, current().count()), 1);
    }

    /** Returns the number of hosts that are known now. */
    int size() {
        return views.isEmpty() ? 0 : current().zoneByHost().size();
    }

    /** Returns a fraction by which this host's use of a server is set off from that of hosts that it doesn't know. */
    double phase(String server) {
        String self = views.isEmpty() ? "" : current().self();
        return new SplittableRandom((server + '|' + self).hashCode()).nextDouble();
    }

    private boolean isMinority() {
        return size() * 2 <= peak;
    }

    private KnownHosts current() {
        return views.getLast().hosts();
    }

    /** Forgets views that were replaced longer ago than a change needs to reach all hosts. */
    private void expire(long nowMicros) {
        while (views.size() > 1
                && views.stream().skip(1).findFirst().orElseThrow().sinceMicros() <= nowMicros - SETTLE_MICROS) {
            views.removeFirst();
        }
    }
}
