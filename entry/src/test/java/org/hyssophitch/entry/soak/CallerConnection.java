package org.hyssophitch.entry.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;

import org.hyssophitch.entry.soak.Event.ConnectionEnd;

/** A caller's kept connection to a host, on which requests are pipelined. Thread-safe. */
final class CallerConnection implements AutoCloseable {

    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long DEADLINE_SLACK_MILLIS = 300;
    private static final int ANSWER_TIMEOUT_MILLIS = 10_000;

    /** Receives the outcome of each request; called on the connection's reading thread. */
    interface Listener {

        /** Handles a whole answer. */
        void onAnswer(Request request, HttpMessage answer);

        /** Handles the end of the connection, with a request that has got no answer. */
        void onUnanswered(Request request, ConnectionEnd end);
    }

    private record Pending(Request request, int sequence, long expiryMillis) {}

    private final String name = "connection-" + NEXT.incrementAndGet();
    private final String host;
    private final Journal journal;
    private final Listener listener;
    private final Socket socket = new Socket();
    /** Keeps the order of the requests; separate, because a write may wait until answers are read. */
    private final Object writeLock = new Object();

    private final Deque<Pending> pending = new ArrayDeque<>();
    private final Thread reader;
    private int sent;
    private boolean hasEnded;
    private boolean isCloseAnnounced;
    private boolean hasLeft;

    CallerConnection(HostSettings host, Journal journal, Listener listener) throws IOException {
        this.host = host.name();
        this.journal = journal;
        this.listener = listener;
        socket.setTcpNoDelay(true);
        socket.connect(host.frontAddress(), CONNECT_TIMEOUT_MILLIS);
        reader = Thread.startVirtualThread(this::read);
    }

    /** Returns whether requests may be sent: the connection is open, and its close hasn't been announced. */
    synchronized boolean isUsable() {
        return !hasEnded && !isCloseAnnounced;
    }

    synchronized int pendingRequests() {
        return pending.size();
    }

    /** Sends a whole request; returns false, and sends nothing, if the connection isn't usable. */
    boolean send(Request request) {
        synchronized (writeLock) {
            int sequence = addPending(request);
            if (sequence < 0) {
                return false;
            }
            long startMillis = journal.millis();
            try {
                socket.getOutputStream().write(request.encode());
                journal.add(new Event.Sent(startMillis, journal.millis(), request, host, name, sequence));
            } catch (IOException e) {
                // The reader notices the end of the connection and reports the request.
            }
            return true;
        }
    }

    /** Adds a request before its first byte is sent, because its answer may come before its last byte is sent. */
    private synchronized int addPending(Request request) {
        if (!isUsable()) {
            return -1;
        }
        long expiryMillis = journal.millis() + request.deadlineMillis() + DEADLINE_SLACK_MILLIS;
        pending.add(new Pending(request, sent, expiryMillis));
        return sent++;
    }

    private void read() {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                socket.setSoTimeout(awaitByte(in));
                HttpMessage answer = HttpMessage.readResponse(in);
                if (answer == null) {
                    end(ConnectionEnd.CLOSED, "");
                    return;
                }
                onAnswer(answer);
            }
        } catch (SocketTimeoutException e) {
            end(ConnectionEnd.DEADLINE, "");
        } catch (EOFException e) {
            end(ConnectionEnd.CUT_OFF, e.getMessage());
        } catch (HttpMessage.MalformedException e) {
            journal.add(new Event.StrayBytes(journal.millis(), name, host, e.getMessage()));
            end(ConnectionEnd.CUT_OFF, e.getMessage());
        } catch (SocketException e) {
            end(ConnectionEnd.RESET, e.getMessage());
        } catch (IOException e) {
            end(ConnectionEnd.CUT_OFF, e.toString());
        }
    }

    /** Waits for the next byte while nothing is pending or the deadline hasn't passed; returns the time to wait on. */
    private int awaitByte(InputStream in) throws IOException {
        while (true) {
            socket.setSoTimeout(100);
            in.mark(1);
            try {
                in.read();
                in.reset();
                return ANSWER_TIMEOUT_MILLIS;
            } catch (SocketTimeoutException e) {
                if (isExpired()) {
                    throw e;
                }
            }
        }
    }

    private synchronized boolean isExpired() {
        return !pending.isEmpty() && pending.peek().expiryMillis() < journal.millis();
    }

    private void onAnswer(HttpMessage answer) {
        Pending first;
        synchronized (this) {
            isCloseAnnounced |= answer.header("Connection").equalsIgnoreCase("close");
            first = pending.poll();
        }
        if (first == null) {
            journal.add(new Event.StrayBytes(
                    journal.millis(), name, host, "an answer without a request: " + answer.startLine()));
            return;
        }
        journal.add(new Event.Answered(journal.millis(), name, first.sequence(), answer));
        listener.onAnswer(first.request(), answer);
    }

    private void end(ConnectionEnd how, String detail) {
        Deque<Pending> unanswered;
        ConnectionEnd cause;
        synchronized (this) {
            hasEnded = true;
            cause = hasLeft ? ConnectionEnd.LEFT : how;
            unanswered = new ArrayDeque<>(pending);
            pending.clear();
        }
        long now = journal.millis();
        unanswered.forEach(p -> journal.add(new Event.Unanswered(now, name, p.sequence(), cause, detail)));
        close();
        unanswered.forEach(p -> listener.onUnanswered(p.request(), cause));
    }

    /** Closes the connection as a caller that no longer waits. */
    void leave() {
        synchronized (this) {
            hasLeft = true;
        }
        close();
    }

    /** Waits until the connection has ended. */
    void awaitEnd() throws InterruptedException {
        reader.join();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to be sent.
        }
    }
}
