package org.hyssophitch.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.HdrHistogram.Histogram;
import org.hyssophitch.wire.concurrent.WallClock;

/**
 * Runs simulated callers against a running deployment and checks their history. For a single run.
 */
public final class LoadRun {

    /**
     * Result of a run, which is printed as JSON. Immutable.
     *
     * @param calls requests of all callers
     * @param completed requests that got a complete response, or the report that they already ran
     * @param notRun requests whose last attempt was reported as not run
     * @param unknown all other requests, whose last attempt was unknown, broken, incorrect or a server error
     * @param wrongAnswers requests with a response that claimed to be complete, but was not the correct one
     * @param doubleRuns non-idempotent requests that ran more than once
     * @param falseNotRun requests that ran although every attempt was reported as not run
     * @param broken attempts whose connection failed
     * @param probes load probes that the backend servers received
     * @param probeBudget load probes that the budget allowed
     * @param p50Millis median of the callers' latency in milliseconds
     * @param p99Millis 99th percentile of the callers' latency in milliseconds
     * @param retriedRequest id of one retried request, or empty
     */
    public record Result(
            long calls,
            long completed,
            long notRun,
            long unknown,
            long wrongAnswers,
            long doubleRuns,
            long falseNotRun,
            long broken,
            long probes,
            long probeBudget,
            double p50Millis,
            double p99Millis,
            String retriedRequest) {

        /** Returns whether there were calls, no violation of the three kinds, and no more probes than budgeted. */
        public boolean isGood() {
            return calls > 0 && wrongAnswers == 0 && doubleRuns == 0 && falseNotRun == 0 && probes <= probeBudget;
        }

        /** Returns the result as one JSON line. */
        public String json() {
            return String.format(
                    "{\"calls\":%d,\"completed\":%d,\"not_run\":%d,\"unknown\":%d,\"wrong_answers\":%d,"
                            + "\"double_runs\":%d,\"false_not_run\":%d,\"broken\":%d,\"probes\":%d,"
                            + "\"probe_budget\":%d,\"p50_ms\":%.2f,\"p99_ms\":%.2f,\"retried_request\":\"%s\"}",
                    calls,
                    completed,
                    notRun,
                    unknown,
                    wrongAnswers,
                    doubleRuns,
                    falseNotRun,
                    broken,
                    probes,
                    probeBudget,
                    p50Millis,
                    p99Millis,
                    retriedRequest);
        }
    }

    private static final Pattern RETRIED = Pattern.compile(
            "\"requestId\":\"([^\"]+)\",\"type\":\"ServerChosen\",\"body\":\\{[^{]*\"cause\":\"RETRY\"");
    private static final int PROGRESS_SECONDS = 2;
    private static final long FAULT_INTERVAL_MILLIS = 800;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(2);

    private final Deployment deployment;
    private final OkHttpClient client = SimulatedCaller.httpClient();
    private final ConcurrentLinkedQueue<CallRecord> history = new ConcurrentLinkedQueue<>();
    private final Map<String, LongAdder> failures = new ConcurrentHashMap<>();
    private final SplittableRandom random;
    private final boolean hasFaults;

    /**
     * Creates a run against a deployment.
     *
     * @param deployment running deployment
     * @param seed seed of the callers' random choices
     * @param hasFaults whether to inject faults into backend servers during the run
     */
    public LoadRun(Deployment deployment, long seed, boolean hasFaults) {
        this.deployment = deployment;
        this.hasFaults = hasFaults;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Runs callers and checks their history.
     *
     * @param callers number of concurrent callers
     * @param hasMore returns whether to send another request; called before each request
     * @param meanThinkMicros mean pause of a caller between two requests, in microseconds
     * @param probeBudgetPerSecond load probes that the budget allows per second
     * @param startMicros time at which the first agent started, in microseconds since the epoch; 0 to count probes
     *     from the start of the run
     */
    public Result run(
            int callers, BooleanSupplier hasMore, long meanThinkMicros, double probeBudgetPerSecond, long startMicros)
            throws IOException, InterruptedException {
        long runStartMicros = WallClock.nowMicros();
        long probesBefore = startMicros > 0 ? 0 : probes();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            SimulatedCaller caller = new SimulatedCaller(
                    deployment, client, random.split(), hasMore, meanThinkMicros, history, failures);
            threads.add(Thread.startVirtualThread(caller));
        }
        if (hasFaults) {
            threads.add(Thread.startVirtualThread(this::injectFaults));
        }
        awaitAll(threads);
        long budgetStartMicros = startMicros > 0 ? startMicros : runStartMicros;
        // Before the run, each entry host may have accumulated the right to one probe.
        long accumulatedProbes = startMicros > 0 ? 0 : Deployment.MAX_ENTRY_HOSTS;
        long budget = accumulatedProbes
                + (long) Math.ceil(probeBudgetPerSecond * (WallClock.nowMicros() - budgetStartMicros) / 1e6);
        failures.forEach((type, count) -> System.err.println("broken: " + count + " x " + type));
        return result(probes() - probesBefore, budget);
    }

    /** Makes one backend server of each service in turn fail fast, shed load or run slowly for a short time. */
    private void injectFaults() {
        FaultClient faults = new FaultClient(deployment);
        List<Map<String, String>> injected =
                List.of(Map.of("fail-fast", "true"), Map.of("shed", "true"), Map.of("slow", "20"));
        Map<String, String> none = Map.of("fail-fast", "false", "shed", "false", "slow", "1");
        try {
            for (int i = 0; i < injected.size(); i++) {
                TimeUnit.MILLISECONDS.sleep(FAULT_INTERVAL_MILLIS);
                String server = deployment.services().get(i).name() + "-1";
                System.err.println("fault: " + server + " " + injected.get(i));
                faults.setServerFaults(server, injected.get(i));
                TimeUnit.MILLISECONDS.sleep(FAULT_INTERVAL_MILLIS);
                faults.setServerFaults(server, none);
            }
        } catch (IOException | InterruptedException e) {
            System.err.println("fault injection failed: " + e);
        }
    }

    private void awaitAll(List<Thread> threads) throws InterruptedException {
        long nextProgress = System.nanoTime();
        for (Thread t : threads) {
            while (!t.join(Duration.ofMillis(200))) {
                if (System.nanoTime() > nextProgress) {
                    nextProgress = System.nanoTime() + TimeUnit.SECONDS.toNanos(PROGRESS_SECONDS);
                    System.err.println("callers: " + history.size() + " calls done");
                }
            }
        }
    }

    private Result result(long probes, long budget) throws IOException {
        Collection<CallRecord> calls = List.copyOf(history);
        List<HistoryChecker.Violation> violations = HistoryChecker.check(calls, runs());
        violations.stream().limit(20).forEach(v -> System.err.println("violation: " + v));
        Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);
        calls.forEach(c -> latency.recordValue(Math.min(MAX_LATENCY_MICROS, c.elapsedMicros())));
        return new Result(
                calls.size(),
                count(calls, CallRecord.AttemptOutcome.COMPLETED) + count(calls, CallRecord.AttemptOutcome.ALREADY_RUN),
                count(calls, CallRecord.AttemptOutcome.NOT_RUN),
                calls.size()
                        - count(calls, CallRecord.AttemptOutcome.COMPLETED)
                        - count(calls, CallRecord.AttemptOutcome.ALREADY_RUN)
                        - count(calls, CallRecord.AttemptOutcome.NOT_RUN),
                HistoryChecker.count(violations, HistoryChecker.Kind.WRONG_ANSWER),
                HistoryChecker.count(violations, HistoryChecker.Kind.DOUBLE_RUN),
                HistoryChecker.count(violations, HistoryChecker.Kind.FALSE_NOT_RUN),
                calls.stream()
                        .flatMap(c -> c.outcomes().stream())
                        .filter(a -> a == CallRecord.AttemptOutcome.BROKEN)
                        .count(),
                probes,
                budget,
                latency.getValueAtPercentile(50) / MICROS_PER_MILLI,
                latency.getValueAtPercentile(99) / MICROS_PER_MILLI,
                retriedRequest());
    }

    private static long count(Collection<CallRecord> calls, CallRecord.AttemptOutcome last) {
        return calls.stream().filter(c -> c.lastOutcome() == last).count();
    }

    private long probes() throws IOException {
        return Long.parseLong(
                get("http://" + deployment.serverControl() + "/probes").trim());
    }

    private Map<String, List<String>> runs() throws IOException {
        return get("http://" + deployment.serverControl() + "/history")
                .lines()
                .map(l -> l.split(" "))
                .filter(p -> p.length > 1)
                .collect(Collectors.toMap(p -> p[0], p -> Arrays.asList(p).subList(1, p.length)));
    }

    private String retriedRequest() {
        return deployment.entryHosts().stream()
                .flatMap(h -> RETRIED.matcher(timeline(h)).results().map(m -> m.group(1)))
                .findFirst()
                .orElse("");
    }

    private String timeline(Deployment.EntryHost host) {
        try {
            return get("http://" + host.proxy() + "/-/timeline");
        } catch (IOException e) {
            return "";
        }
    }

    private String get(String url) throws IOException {
        try (Response response =
                client.newCall(new Request.Builder().url(url).build()).execute()) {
            return response.body().string();
        }
    }
}
