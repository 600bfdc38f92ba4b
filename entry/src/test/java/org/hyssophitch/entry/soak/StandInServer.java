package org.hyssophitch.entry.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import org.hyssophitch.entry.soak.Event.RunEnd;

/**
 * A backend server with a number of slots and a short queue. The path of a request states its work in milliseconds, as
 * in {@code /trace/360/5}; the server takes that time, multiplied by its slowdown. Thread-safe.
 */
final class StandInServer implements AutoCloseable {

    private static final int BACKLOG = 256;
    private static final int QUEUED_PER_SLOT = 2;
    private static final int PORT = 18_090;
    /** Small, so that a large body is still being written while the server answers. */
    private static final int RECEIVE_BYTES = 16_384;

    private static final AtomicInteger RUNS = new AtomicInteger();

    private final String name;
    private final String zone;
    private final int slots;
    private final Journal journal;
    private final ServerBehaviour behaviour;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress address;
    private volatile ServerSocket listener;
    private volatile int slowdown = 1;

    StandInServer(String ip, String name, String zone, int slots, ServerBehaviour behaviour, Journal journal)
            throws IOException {
        this.name = name;
        this.zone = zone;
        this.slots = slots;
        this.behaviour = behaviour;
        this.journal = journal;
        free = new Semaphore(slots, true);
        address = new InetSocketAddress(ip, PORT);
        open();
    }

    /** Starts to listen; also used to start again after a crash. */
    void open() throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReceiveBufferSize(RECEIVE_BYTES);
        opened.bind(address, BACKLOG);
        listener = opened;
        Thread.startVirtualThread(() -> accept(opened));
    }

    String name() {
        return name;
    }

    void setSlowdown(int value) {
        slowdown = value;
    }

    /** Returns the specification with which the server registers in the store. */
    String registration(String service, int sequence) {
        return """
               {"address":"%s:%d","born":1,"information":{"service":"%s","zone":"%s","slots":%d},
                "status":{"state":"ready","sequence":%d,"cold_remaining_ms":0}}
               """
                .formatted(address.getAddress().getHostAddress(), PORT, service, zone, slots, sequence);
    }

    private void accept(ServerSocket opened) {
        while (!opened.isClosed()) {
            try {
                Socket socket = opened.accept();
                connections.add(socket);
                Thread.startVirtualThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            ServerConnection connection = new ServerConnection(socket, name, this::load);
            HttpMessage head = HttpMessage.readRequestHead(in);
            while (head != null) {
                if (head.target().equals("/health")) {
                    connection.writeHealthy();
                } else {
                    handle(head, in, connection);
                }
                head = HttpMessage.readRequestHead(in);
            }
        } catch (IOException | InterruptedException e) {
            // A host closes a connection to cancel its request.
        } finally {
            connections.remove(socket);
        }
    }

    private void handle(HttpMessage head, InputStream in, ServerConnection connection)
            throws IOException, InterruptedException {
        String id = head.header("Hyssophitch-Request-Id");
        ServerBehaviour.Fault fault = behaviour.next();
        if (fault.isBeforeBody() && !head.header("Content-Length").isEmpty()) {
            recordRun(id, fault);
            connection.answer(id, fault);
            head.withRequestBody(in);
            return;
        }
        head.withRequestBody(in);
        String expected = head.header("Hyssophitch-Expected-Instance");
        if (!expected.isEmpty() && !expected.equals(name)) {
            connection.writeNotExecuted(id, 421);
        } else if (fault.isRefusal()) {
            connection.refuse(id, fault);
        } else if (waiting.get() >= slots * QUEUED_PER_SLOT) {
            connection.writeNotExecuted(id, 503);
        } else {
            run(head, id, fault, connection);
        }
    }

    private void run(HttpMessage head, String id, ServerBehaviour.Fault fault, ServerConnection connection)
            throws IOException, InterruptedException {
        ServerSocket startedOn = listener;
        int run = RUNS.incrementAndGet();
        journal.add(new Event.RunStarted(journal.millis(), id, name, run));
        waiting.incrementAndGet();
        free.acquire();
        waiting.decrementAndGet();
        try {
            Thread.sleep(Long.parseLong(head.target().split("/")[2]) * slowdown);
        } finally {
            free.release();
        }
        // A crash closes the connection; what happens to the request afterwards isn't up to the host.
        boolean isSound = fault.isAnswerWhole() && !startedOn.isClosed();
        RunEnd end = isSound ? RunEnd.ANSWERED : RunEnd.BROKE_OFF;
        journal.add(new Event.RunEnded(journal.millis(), id, name, run, end));
        connection.answer(id, fault);
    }

    private void recordRun(String id, ServerBehaviour.Fault fault) {
        int run = RUNS.incrementAndGet();
        journal.add(new Event.RunStarted(journal.millis(), id, name, run));
        RunEnd end = fault.isAnswerWhole() ? RunEnd.ANSWERED : RunEnd.BROKE_OFF;
        journal.add(new Event.RunEnded(journal.millis(), id, name, run, end));
    }

    private String load() {
        int running = slots - free.availablePermits();
        return running + "," + waiting.get() + "," + slots + ",100";
    }

    /** Closes the listening socket and all connections, as a crash does. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : connections) {
            s.close();
        }
    }
}
