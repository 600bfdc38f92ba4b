package org.hyssophitch.bench.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.FleetNews;
import org.hyssophitch.core.control.SuspicionExchange;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.statement.LimitNews;

/**
 * Model of the datagrams by which entry hosts share suspicions, with the real exchange on each host. Not thread-safe;
 * owned by one run.
 */
public final class ModelPeers {

    /** Hosts that urgent news are sent to at once. */
    private static final int URGENT_FANOUT = 3;

    private static final int NEWS_PER_DATAGRAM = 8;
    private static final long HEARTBEAT_MICROS = 500_000;
    private static final long DATAGRAM_MICROS = 1_000;

    private final VirtualTime time;
    private final SplittableRandom random;
    private final double loss;
    private final Map<String, Peer> peers = new TreeMap<>();

    /**
     * Creates a model without hosts.
     *
     * @param time clock and scheduler of the run
     * @param random random number generator of the model
     * @param loss fraction of the datagrams that are lost
     */
    public ModelPeers(VirtualTime time, SplittableRandom random, double loss) {
        this.time = time;
        this.random = random;
        this.loss = loss;
    }

    /** Adds a host, or replaces it after its restart; {@link Peer#attach} completes it. */
    public Peer join(String name) {
        Peer peer = new Peer();
        peers.put(name, peer);
        peer.scheduleHeartbeat();
        return peer;
    }

    private Peer randomPeer() {
        List<Peer> all = new ArrayList<>(peers.values());
        return all.get(random.nextInt(all.size()));
    }

    /** One entry host's side of the exchange. */
    public final class Peer implements FleetNews {

        private final SuspicionExchange exchange = new SuspicionExchange(random.split());
        private ModelEntryHost host;

        private Peer() {}

        /** Sets the host that receives the suspicions of the others. */
        public void attach(ModelEntryHost attached) {
            host = attached;
        }

        @Override
        public void shareSuspicions(List<Suspicion> found) {
            exchange.add(found);
            sendUrgent();
        }

        @Override
        public void shareLimit(LimitNews news, boolean isUrgent) {
            // No server states a limit here.
        }

        private void scheduleHeartbeat() {
            time.after(random.nextLong(HEARTBEAT_MICROS), this::heartbeat);
        }

        private void heartbeat() {
            if (host == null || host.isDead()) {
                return;
            }
            Peer target = randomPeer();
            send(target);
            time.after(2 * DATAGRAM_MICROS, () -> target.send(this));
            time.after(HEARTBEAT_MICROS, this::heartbeat);
        }

        private void sendUrgent() {
            for (int i = 0; i < URGENT_FANOUT; i++) {
                send(randomPeer());
            }
        }

        private void send(Peer to) {
            OptionalInt repeated = OptionalInt.of(exchange.repeatedCount());
            send(to, exchange.take(NEWS_PER_DATAGRAM, time.nowMicros()), repeated);
        }

        private void send(Peer to, List<Suspicion> suspicions, OptionalInt repeatedCount) {
            boolean isLost = random.nextDouble() < loss;
            if (!isLost && to != this) {
                time.after(DATAGRAM_MICROS, () -> to.receive(this, suspicions, repeatedCount));
            }
        }

        private void receive(Peer from, List<Suspicion> received, OptionalInt repeatedByOther) {
            if (host == null || host.isDead()) {
                return;
            }
            exchange.missing(repeatedByOther, time.nowMicros()).forEach(page -> send(from, page, OptionalInt.empty()));
            List<Suspicion> fresh = exchange.add(received);
            host.handle(new CallEvent.SuspicionsReceived(time.nowMicros(), fresh));
            if (fresh.stream().anyMatch(exchange::isUrgent)) {
                sendUrgent();
            }
        }
    }
}
