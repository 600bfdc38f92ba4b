package org.hyssophitch.bench.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.FleetNews;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.statement.LimitNews;

/**
 * Model of what entry hosts share by datagrams: news go to a few random hosts at once or with the next heartbeats, and
 * some datagrams are lost. Not thread-safe; owned by one run.
 */
public final class ModelGossip implements FleetNews {

    /** Hosts that urgent news are sent to at once. */
    private static final int URGENT_FANOUT = 3;
    /** Datagrams that carry each news, with the sender's heartbeats. */
    private static final int TRANSMISSIONS = 6;

    private static final long HEARTBEAT_MICROS = 500_000;
    private static final long DATAGRAM_MICROS = 1_000;
    private static final double DEFAULT_LOSS = 0.01;

    private final VirtualTime time;
    private final long suspicionDelayMicros;
    private final Supplier<? extends List<ModelEntryHost>> hosts;
    private final SplittableRandom random = new SplittableRandom(1);
    private double loss = DEFAULT_LOSS;
    private long limitMessages;

    /**
     * Creates a model of the datagrams between hosts.
     *
     * @param time clock and scheduler of the run
     * @param suspicionDelayMicros delay in microseconds until all hosts know a suspicion
     * @param hosts returns all hosts, also dead ones
     */
    public ModelGossip(VirtualTime time, long suspicionDelayMicros, Supplier<? extends List<ModelEntryHost>> hosts) {
        this.time = time;
        this.suspicionDelayMicros = suspicionDelayMicros;
        this.hosts = hosts;
    }

    /** Returns the number of datagrams so far that carried news of a limit, counting each news in a datagram. */
    public long limitMessages() {
        return limitMessages;
    }

    /** Sets the fraction of the news of limits that are lost. */
    public void setLoss(double value) {
        loss = value;
    }

    @Override
    public void shareSuspicions(List<Suspicion> suspicions) {
        time.after(suspicionDelayMicros, () -> List.copyOf(hosts.get())
                .forEach(h -> h.handle(new CallEvent.SuspicionsReceived(time.nowMicros(), suspicions))));
    }

    @Override
    public void shareLimit(LimitNews news, boolean isUrgent) {
        int urgent = isUrgent ? URGENT_FANOUT : 0;
        for (int i = 0; i < urgent + TRANSMISSIONS; i++) {
            long delay = i < urgent ? DATAGRAM_MICROS : HEARTBEAT_MICROS * (i - urgent) + DATAGRAM_MICROS;
            time.after(delay, () -> deliver(news));
        }
    }

    private void deliver(LimitNews news) {
        limitMessages++;
        List<ModelEntryHost> receivers = new ArrayList<>(hosts.get());
        ModelEntryHost receiver = receivers.get(random.nextInt(receivers.size()));
        if (random.nextDouble() >= loss) {
            receiver.handle(new CallEvent.LimitNewsReceived(time.nowMicros(), List.of(news)));
        }
    }
}
