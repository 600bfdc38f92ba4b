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
 * Simulates one caller: looks up entry host addresses, sends requests to the services of a deployment one after the
 * other, retries as the responses allow, and records the outcomes. Runs on one thread.
 */
final class SimulatedCaller implements Runnable {

    private static final int MAX_ATTEMPTS = 6;
    private static final int NO_PAUSE = 0;
    private static final int CONFLICT = 409;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final long MAX_PAUSE_MILLIS = 500;
    private static final long FAILURE_PAUSE_MILLIS = 20;
    private static final Pattern TICKET = Pattern.compile("\"(t~[^\"]+)\"");

    private final Deployment deployment;
    private final OkHttpClient client;
    private final EntryHostAddressCache addresses;
    private final SplittableRandom random;
    private final BooleanSupplier hasMore;
    private final long meanThinkMicros;
    private final ConcurrentLinkedQueue<CallRecord> history;
    private final Map<String, LongAdder> failures;

    /** Outcome of one attempt, and the pause in milliseconds before the next one. */
    private record Attempt(AttemptOutcome outcome, long pauseMillis) {}

    SimulatedCaller(
            Deployment deployment,
            OkHttpClient client,
            SplittableRandom random,
            BooleanSupplier hasMore,
            long meanThinkMicros,
            ConcurrentLinkedQueue<CallRecord> history,
            Map<String, LongAdder> failures) {
        this.failures = failures;
        this.deployment = deployment;
        this.client = client;
        this.random = random;
        this.hasMore = hasMore;
        this.meanThinkMicros = meanThinkMicros;
        this.history = history;
        List<String> agents =
                deployment.entryHosts().stream().map(Deployment.EntryHost::http).toList();
        String zone = deployment.zones().get(random.nextInt(deployment.zones().size()));
        this.addresses = new EntryHostAddressCache(client, agents, zone, random);
    }

    /** Creates the HTTP client that callers share. It does not retry, so that each attempt is recorded. */
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
            call(deployment.services().get(index));
            pauseMicros((long) (-Math.log(1 - random.nextDouble()) * meanThinkMicros));
        }
    }

    private void call(Deployment.ServiceSpec service) {
        long started = System.nanoTime();
        boolean isIdempotent = !service.isNonIdempotent();
        String requestId = isIdempotent ? UUID.randomUUID().toString() : requestTicket();
        if (requestId.isEmpty()) {
            return;
        }
        List<AttemptOutcome> outcomes = new ArrayList<>();
        boolean isDone = false;
        while (!isDone && outcomes.size() < MAX_ATTEMPTS) {
            Attempt attempt = send(service, requestId, outcomes.size());
            outcomes.add(attempt.outcome());
            isDone = isFinal(attempt.outcome(), isIdempotent, outcomes.size());
            if (!isDone) {
                pauseMicros(TimeUnit.MILLISECONDS.toMicros(attempt.pauseMillis()));
            }
        }
        long elapsed = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - started);
        history.add(new CallRecord(requestId, service.name(), isIdempotent, List.copyOf(outcomes), elapsed));
    }

    /**
     * Returns whether to stop. A non-idempotent request whose first attempt has an unknown outcome is sent again with
     * the same id; an unknown outcome of a later attempt is final.
     */
    private static boolean isFinal(AttemptOutcome outcome, boolean isIdempotent, int attempts) {
        return switch (outcome) {
            case COMPLETED, ALREADY_RUN, WRONG -> true;
            case NOT_RUN, BROKEN, SERVER_ERROR -> false;
            case UNKNOWN -> !isIdempotent && attempts > 1;
        };
    }

    private Attempt send(Deployment.ServiceSpec service, String requestId, int attempt) {
        try {
            Request request = request(service, addresses.address(attempt), requestId);
            return exchange(request, requestId, service.responseBytes());
        } catch (IOException e) {
            failures.computeIfAbsent(e.toString().replaceAll("[0-9.:/]+", "#"), m -> new LongAdder())
                    .increment();
            addresses.invalidate();
            return new Attempt(AttemptOutcome.BROKEN, FAILURE_PAUSE_MILLIS);
        }
    }

    /** Builds a request. Half of the idempotent requests select the service by route, the others by path. */
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

    private Attempt exchange(Request request, String requestId, int size) throws IOException {
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
        return new Attempt(AttemptOutcome.NOT_RUN, FAILURE_PAUSE_MILLIS);
    }

    private static Attempt interpret(Response response, byte[] body, String requestId, int size) {
        String retryAfter = response.header(CallHeaders.RETRY_AFTER_MILLIS, "50");
        long pause = Math.min(MAX_PAUSE_MILLIS, Long.parseLong(retryAfter));
        String outcome = response.header(CallHeaders.OUTCOME, "");
        return switch (outcome) {
            case "not-run" -> new Attempt(AttemptOutcome.NOT_RUN, pause);
            case "unknown" -> new Attempt(AttemptOutcome.UNKNOWN, pause);
            case "completed" -> new Attempt(classifyCompleted(response.code(), body, requestId, size), pause);
            default -> new Attempt(AttemptOutcome.WRONG, NO_PAUSE);
        };
    }

    private static AttemptOutcome classifyCompleted(int status, byte[] body, String requestId, int size) {
        if (status == CONFLICT) {
            return AttemptOutcome.ALREADY_RUN;
        }
        if (status >= FIRST_SERVER_ERROR) {
            return AttemptOutcome.SERVER_ERROR;
        }
        return ResponseContent.isComplete(requestId, size, body) ? AttemptOutcome.COMPLETED : AttemptOutcome.WRONG;
    }

    /** Requests a ticket for a non-idempotent request; empty if every attempt fails. */
    private String requestTicket() {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                Request request = new Request.Builder()
                        .url("http://" + addresses.address(i) + "/tickets")
                        .post(RequestBody.create(new byte[0], null))
                        .build();
                try (Response response = client.newCall(request).execute()) {
                    Matcher m = TICKET.matcher(response.body().string());
                    if (m.find()) {
                        return m.group(1);
                    }
                }
            } catch (IOException e) {
                addresses.invalidate();
                pauseMicros(TimeUnit.MILLISECONDS.toMicros(FAILURE_PAUSE_MILLIS));
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
