package org.hyssophitch.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.hyssophitch.standin.CallRecord.AttemptOutcome;
import org.hyssophitch.wire.report.CallHeaders;

/**
 * Stand-in for one caller: asks for addresses, sends requests to the services of a deployment one after the other,
 * sends again as the answers allow, and records what came back. Runs on one thread.
 */
final class SimulatedCaller implements Runnable {

    private static final int MAX_SENDINGS = 6;
    private static final int NO_ANSWER_STATUS = 0;
    private static final int CONFLICT = 409;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final long MAX_PAUSE_MILLIS = 500;
    private static final long BROKEN_PAUSE_MILLIS = 20;
    private static final Pattern TICKET = Pattern.compile("\"(t~[^\"]+)\"");

    private final Deployment deployment;
    private final OkHttpClient client;
    private final EntryHostAddressCache book;
    private final SplittableRandom random;
    private final BooleanSupplier hasMore;
    private final long thinkMicros;
    private final ConcurrentLinkedQueue<CallRecord> history;
    private final Map<String, LongAdder> failures;

    /** One sending's answer and the time in milliseconds after which the caller may come back. */
    private record Sent(AttemptOutcome answer, long pauseMillis) {}

    SimulatedCaller(
            Deployment deployment,
            OkHttpClient client,
            SplittableRandom random,
            BooleanSupplier hasMore,
            long thinkMicros,
            ConcurrentLinkedQueue<CallRecord> history,
            Map<String, LongAdder> failures) {
        this.failures = failures;
        this.deployment = deployment;
        this.client = client;
        this.random = random;
        this.hasMore = hasMore;
        this.thinkMicros = thinkMicros;
        this.history = history;
        List<String> agents =
                deployment.entryHosts().stream().map(Deployment.EntryHost::http).toList();
        String zone = deployment.zones().get(random.nextInt(deployment.zones().size()));
        this.book = new EntryHostAddressCache(client, agents, zone, random);
    }

    /** Creates the HTTP client that callers share; it never sends a request twice by itself. */
    static OkHttpClient httpClient() {
        return new OkHttpClient.Builder()
                .retryOnConnectionFailure(false)
                .connectTimeout(Duration.ofMillis(500))
                .readTimeout(Duration.ofSeconds(12))
                .build();
    }

    @Override
    public void run() {
        while (hasMore.getAsBoolean()) {
            int index = random.nextInt(deployment.services().size());
            callOnce(deployment.services().get(index));
            pauseMicros((long) (-Math.log(1 - random.nextDouble()) * thinkMicros));
        }
    }

    private void callOnce(Deployment.ServiceSpec service) {
        long started = System.nanoTime();
        boolean isIdempotent = !service.isNonIdempotent();
        String requestId = isIdempotent ? UUID.randomUUID().toString() : ticket();
        if (requestId.isEmpty()) {
            return;
        }
        List<AttemptOutcome> answers = new ArrayList<>();
        boolean isOver = false;
        while (!isOver && answers.size() < MAX_SENDINGS) {
            Sent sent = send(service, requestId, answers.size());
            answers.add(sent.answer());
            isOver = isFinal(sent.answer(), isIdempotent, answers.size());
            if (!isOver) {
                pauseMicros(TimeUnit.MILLISECONDS.toMicros(sent.pauseMillis()));
            }
        }
        long elapsed = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - started);
        history.add(new CallRecord(requestId, service.name(), isIdempotent, List.copyOf(answers), elapsed));
    }

    /** An unknown or lost answer to a non-idempotent request is asked after once more, with the same name. */
    private static boolean isFinal(AttemptOutcome answer, boolean isIdempotent, int sendings) {
        return switch (answer) {
            case COMPLETED, ALREADY_RUN, WRONG -> true;
            case NOT_RUN, BROKEN, SERVER_ERROR -> false;
            case UNKNOWN -> !isIdempotent && sendings > 1;
        };
    }

    private Sent send(Deployment.ServiceSpec service, String requestId, int sending) {
        try {
            Request request = request(service, book.address(sending), requestId);
            return exchange(request, requestId, service.responseBytes());
        } catch (IOException e) {
            failures.computeIfAbsent(e.toString().replaceAll("[0-9.:/]+", "#"), m -> new LongAdder())
                    .increment();
            book.forget();
            return new Sent(AttemptOutcome.BROKEN, BROKEN_PAUSE_MILLIS);
        }
    }

    /** Half of the idempotent requests go by route, as those of callers do that know nothing of services. */
    private Request request(Deployment.ServiceSpec service, String address, String requestId) {
        boolean isByRoute = !service.isNonIdempotent() && random.nextInt(2) == 0;
        String path = isByRoute ? "/item/" : "/services/" + service.name() + "/item/";
        String url = "http://" + address + path + random.nextInt(1_000_000) + "?size=" + service.responseBytes();
        Request.Builder request = new Request.Builder().url(url).header(CallHeaders.REQUEST_ID, requestId);
        if (isByRoute) {
            request.header("Host", DeploymentFiles.routeHost(service));
        }
        if (service.isNonIdempotent()) {
            request.post(RequestBody.create(new byte[] {'1'}, null));
        }
        return request.build();
    }

    private Sent exchange(Request request, String requestId, int size) throws IOException {
        Request next = request;
        for (int hop = 0; hop < 2; hop++) {
            try (Response response = client.newCall(next).execute()) {
                byte[] body = response.body().bytes();
                String location = response.header("Location");
                if (response.priorResponse() != null || location == null) {
                    return interpret(response, body, requestId, size);
                }
                next = request.newBuilder().url(location).build();
            }
        }
        return new Sent(AttemptOutcome.NOT_RUN, BROKEN_PAUSE_MILLIS);
    }

    private static Sent interpret(Response response, byte[] body, String requestId, int size) {
        String retryAfter = response.header(CallHeaders.RETRY_AFTER_MILLIS, "50");
        long pause = Math.min(MAX_PAUSE_MILLIS, Long.parseLong(retryAfter));
        String outcome = response.header(CallHeaders.OUTCOME, "");
        return switch (outcome) {
            case "not-run" -> new Sent(AttemptOutcome.NOT_RUN, pause);
            case "unknown" -> new Sent(AttemptOutcome.UNKNOWN, pause);
            case "completed" -> new Sent(completed(response.code(), body, requestId, size), pause);
            default -> new Sent(AttemptOutcome.WRONG, NO_ANSWER_STATUS);
        };
    }

    private static AttemptOutcome completed(int status, byte[] body, String requestId, int size) {
        if (status == CONFLICT) {
            return AttemptOutcome.ALREADY_RUN;
        }
        if (status >= FIRST_SERVER_ERROR) {
            return AttemptOutcome.SERVER_ERROR;
        }
        return ResponseContent.isComplete(requestId, size, body) ? AttemptOutcome.COMPLETED : AttemptOutcome.WRONG;
    }

    private String ticket() {
        for (int i = 0; i < MAX_SENDINGS; i++) {
            try {
                Request request = new Request.Builder()
                        .url("http://" + book.address(i) + "/tickets")
                        .post(RequestBody.create(new byte[0], null))
                        .build();
                try (Response response = client.newCall(request).execute()) {
                    Matcher m = TICKET.matcher(response.body().string());
                    if (m.find()) {
                        return m.group(1);
                    }
                }
            } catch (IOException e) {
                book.forget();
                pauseMicros(TimeUnit.MILLISECONDS.toMicros(BROKEN_PAUSE_MILLIS));
            }
        }
        return "";
    }

    private static void pauseMicros(long micros) {
        try {
            TimeUnit.MICROSECONDS.sleep(micros);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
