package org.hyssophitch.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.netty.channel.EventLoop;
import org.hyssophitch.core.quota.QuotaAsk;
import org.hyssophitch.core.quota.QuotaGrant;

/**
 * Collects the token requests and answers of one turn of the event loop, so that those to the same host share a
 * datagram. Not thread-safe; confined to the event loop.
 */
final class QuotaMail {

    /** Number of requests and answers in one datagram; keeps it below the usual size of a packet. */
    private static final int MAX_PER_DATAGRAM = 16;

    /** Sends a datagram. */
    @FunctionalInterface
    interface Sender {
        /** Sends requests and answers to a host. */
        void send(String host, List<QuotaAsk> asks, List<QuotaGrant> grants);
    }

    private record Batch(List<QuotaAsk> asks, List<QuotaGrant> grants) {

        private Batch() {
            this(new ArrayList<>(), new ArrayList<>());
        }

        private boolean isFull() {
            return asks.size() + grants.size() >= MAX_PER_DATAGRAM;
        }
    }

    private final EventLoop loop;
    private final Sender sender;
    private final Map<String, Batch> batches = new LinkedHashMap<>();
    private boolean isFlushDue;

    QuotaMail(EventLoop loop, Sender sender) {
        this.loop = loop;
        this.sender = sender;
    }

    /** Sends a token request at the end of this turn. */
    void add(String host, QuotaAsk ask) {
        batch(host).asks().add(ask);
    }

    /** Sends an answer at the end of this turn. */
    void add(String host, QuotaGrant grant) {
        batch(host).grants().add(grant);
    }

    private Batch batch(String host) {
        Batch full = batches.get(host);
        if (full != null && full.isFull()) {
            batches.remove(host);
            sender.send(host, full.asks(), full.grants());
        }
        if (!isFlushDue) {
            loop.execute(this::flush);
            isFlushDue = true;
        }
        return batches.computeIfAbsent(host, h -> new Batch());
    }

    private void flush() {
        isFlushDue = false;
        Map<String, Batch> due = new LinkedHashMap<>(batches);
        batches.clear();
        due.forEach((host, b) -> sender.send(host, b.asks(), b.grants()));
    }
}
