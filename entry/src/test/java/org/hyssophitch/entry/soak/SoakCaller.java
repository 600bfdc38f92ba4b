package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.hyssophitch.entry.soak.Event.ConnectionEnd;

/** A caller that pipelines requests of its own mix on a kept connection, and sends some of them again. */
final class SoakCaller implements CallerConnection.Listener {

    private static final int MAX_DEPTH = 6;
    private static final int MAX_BODY_BYTES = 400_000;
    private static final int MEAN_WORK_MILLIS = 360;
    private static final double WORK_SPREAD = 0.3;
    private static final int BOOKING_WORK_MILLIS = 120;
    private static final double LEAVE_SHARE = 0.004;
    private static final long RETRY_MILLIS = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;

    private final String name;
    private final SoakPlan.Site site;
    private final Journal journal;
    private final Random random;
    private final Directory directory;
    private final int depth;
    private final int pauseMillis;
    private final double unsafeShare;
    private final double uploadShare;
    private final Queue<Request> resends = new ConcurrentLinkedQueue<>();
    private final Set<String> resent = ConcurrentHashMap.newKeySet();
    private final List<CallerConnection> connections = new ArrayList<>();
    private int requests;

    SoakCaller(SoakPlan plan, int number, List<HostSettings> hosts, Journal journal) {
        name = "c" + number;
        site = plan.site();
        this.journal = journal;
        random = Seeds.random(plan.seed(), name);
        directory = new Directory(hosts, journal, random);
        depth = 1 + number % MAX_DEPTH;
        pauseMillis = 5 + random.nextInt(150);
        // A caller that pipelines sends safe requests only, as the users' callers do.
        unsafeShare = depth == 1 ? 0.5 : 0;
        uploadShare = number % 3 == 0 ? 0.4 : 0;
    }

    /** Sends requests until a moment, then waits for the answers. */
    void run(long endMillis) throws InterruptedException {
        while (journal.millis() < endMillis) {
            CallerConnection connection = usableConnection();
            if (connection == null) {
                Thread.sleep(RETRY_MILLIS);
            } else if (connection.pendingRequests() < depth) {
                connection.send(next());
                leaveSometimes(connection);
                Thread.sleep(random.nextInt(pauseMillis));
            } else {
                Thread.sleep(5);
            }
        }
        long lastAnswerMillis = endMillis + site.deadlineMillis();
        while (journal.millis() < lastAnswerMillis && connections.stream().anyMatch(c -> c.pendingRequests() > 0)) {
            Thread.sleep(20);
        }
        connections.forEach(CallerConnection::leave);
    }

    private CallerConnection usableConnection() {
        if (!connections.isEmpty() && connections.getLast().isUsable()) {
            return connections.getLast();
        }
        HostSettings host = directory.pick();
        if (host == null) {
            return null;
        }
        try {
            connections.add(new CallerConnection(host, journal, this));
            return connections.getLast();
        } catch (IOException e) {
            return null;
        }
    }

    private void leaveSometimes(CallerConnection connection) {
        if (random.nextDouble() < LEAVE_SHARE) {
            connection.leave();
        }
    }

    private Request next() {
        Request again = resends.poll();
        if (again != null) {
            return again;
        }
        requests++;
        String id = name + '-' + requests;
        double draw = random.nextDouble();
        if (draw < uploadShare) {
            return request(id, "POST", "/upload/" + BOOKING_WORK_MILLIS, false, random.nextInt(MAX_BODY_BYTES));
        }
        if (draw < uploadShare + unsafeShare) {
            return request(id, "POST", "/book/" + BOOKING_WORK_MILLIS, false, 0);
        }
        double work = MEAN_WORK_MILLIS * Math.exp(WORK_SPREAD * random.nextGaussian());
        return request(id, "GET", "/trace/" + (int) Math.min(work, site.maxWorkMillis()), true, 0);
    }

    private Request request(String id, String method, String path, boolean isIdempotent, int bodyBytes) {
        long timeoutMillis = site.routes().stream()
                .filter(r -> path.startsWith('/' + r.name() + '/'))
                .findFirst()
                .orElseThrow()
                .timeoutMillis();
        return new Request(
                id, method, path + '/' + requests, isIdempotent, timeoutMillis, site.deadlineMillis(), bodyBytes);
    }

    @Override
    public void onAnswer(Request request, HttpMessage answer) {
        if (answer.status() == SERVICE_UNAVAILABLE || answer.status() == TOO_MANY_REQUESTS) {
            resend(request);
        }
    }

    @Override
    public void onUnanswered(Request request, ConnectionEnd end) {
        boolean isLost = end != ConnectionEnd.LEFT && end != ConnectionEnd.DEADLINE;
        if (request.isIdempotent() && isLost) {
            resend(request);
        }
    }

    /** Sends a request again, once. One that may run only once gets a new id, which keeps its runs apart. */
    private void resend(Request request) {
        if (resent.add(request.id())) {
            Request again = request.isIdempotent() ? request : request.withId(request.id() + "-again");
            resent.add(again.id());
            resends.add(again);
        }
    }
}
