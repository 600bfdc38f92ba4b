package org.hyssophitch.core.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Criticality;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.configuration.QueueRule;
import org.hyssophitch.core.configuration.RetryRule;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.timeline.EventRecorder;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests rules of the call engine by feeding it single events. */
public class CallEngineTest {

    private static final int BOUNDED_CHAIN_DEPTH = 16;
    private static final int UNBOUNDED_CHAIN_DEPTH = 6;
    private static final int MAX_ATTEMPTS = 3;

    @DataProvider
    public Object[][] chains() {
        return new Object[][] {
            {EngineFeature.all(), BOUNDED_CHAIN_DEPTH, true},
            {EngineFeature.allBut(EngineFeature.RETRY_BUDGET), UNBOUNDED_CHAIN_DEPTH, false}
        };
    }

    /**
     * When the last servers of a call chain shed every request, retries must add up along the chain instead of
     * multiplying at each level, as they do without the retry budget.
     */
    @Test(dataProvider = "chains")
    public void attemptsGrowLinearlyWithChainDepth(Set<EngineFeature> features, int depth, boolean isBounded) {
        int[] attempts = new int[1];
        List<CallEngine> engines = IntStream.range(0, depth)
                .mapToObj(d -> engine(features, EngineSettings.DEFAULT_MAX_BULK_IN_FLIGHT))
                .toList();

        callChain(engines, 0, true, attempts);

        int linear = MAX_ATTEMPTS * (depth + 1);
        assertEquals(attempts[0] <= linear, isBounded, "attempts at the end of the chain: " + attempts[0]);
    }

    /** Bulk calls at their in-flight limit leave capacity for a critical call. */
    @Test
    public void bulkCallsLeaveCapacityForCriticalCalls() {
        CallEngine engine = engine(EngineFeature.all(), 2);
        List<CallAction> actions = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            actions.addAll(engine.handle(new CallEvent.CallArrived(i, request(i, "bulk", true))));
        }
        assertEquals(started(actions), 2);

        List<CallAction> critical = engine.handle(new CallEvent.CallArrived(10, request(10, "critical", true)));

        assertEquals(started(critical), 1);
    }

    /** A call that exceeds the queue limit is rejected immediately, with a retry delay. */
    @Test
    public void callBeyondQueueLimitIsRejectedImmediately() {
        CallEngine engine = engine(EngineFeature.all(), EngineSettings.DEFAULT_MAX_BULK_IN_FLIGHT);
        List<CallAction> actions = new ArrayList<>();
        for (int i = 1; i <= 200; i++) {
            actions.addAll(engine.handle(new CallEvent.CallArrived(i, request(i, "critical", true))));
        }

        assertTrue(actions.stream()
                .anyMatch(a -> a instanceof CallAction.AnswerCaller c
                        && c.reason() == Reason.QUEUE_FULL
                        && c.retryAfterMillis() > 0));
    }

    /** Idempotent requests are retried after any failure, others only if the attempt provably did not run. */
    @DataProvider
    public Object[][] results() {
        return new Object[][] {
            {true, new AttemptResult.Lost(AttemptResult.LostCause.CONNECTION_LOST), 1, null},
            {false, new AttemptResult.NotRun(AttemptResult.NotRunCause.CONNECT_FAILED), 1, null},
            {false, new AttemptResult.NotRun(AttemptResult.NotRunCause.SHED), 1, null},
            {false, new AttemptResult.Lost(AttemptResult.LostCause.CONNECTION_LOST), 0, Reason.CONNECTION_LOST},
            {false, new AttemptResult.Lost(AttemptResult.LostCause.STALLED), 0, Reason.CONNECTION_LOST},
        };
    }

    @Test(dataProvider = "results")
    public void onlySafeAttemptsAreRetried(boolean isIdempotent, AttemptResult result, int retries, Reason answer) {
        CallEngine engine = engine(EngineFeature.all(), EngineSettings.DEFAULT_MAX_BULK_IN_FLIGHT);
        engine.handle(new CallEvent.CallArrived(1, request(1, "critical", isIdempotent)));

        List<CallAction> actions = engine.handle(new CallEvent.AttemptEnded(2, 1, 1, result));

        assertEquals(started(actions), retries);
        Optional<Reason> reason = actions.stream()
                .filter(CallAction.AnswerCaller.class::isInstance)
                .map(a -> ((CallAction.AnswerCaller) a).reason())
                .findFirst();
        assertEquals(reason.orElse(null), answer);
    }

    /** Without its final answer a call holds up the whole answers behind it until the process ends. */
    @Test
    public void hostThatEndsTellsEachCallWhetherItMayHaveRun() {
        CallEngine engine = engine(EngineFeature.all(), 2);
        for (int i = 1; i <= 3; i++) {
            engine.handle(new CallEvent.CallArrived(i, request(i, "bulk", false)));
        }
        engine.handle(new CallEvent.AnswerStarted(4, 1, 1, 200));

        Map<Long, Reason> answers = engine.handle(new CallEvent.HostEnding(5)).stream()
                .filter(CallAction.AnswerCaller.class::isInstance)
                .map(CallAction.AnswerCaller.class::cast)
                .collect(Collectors.toMap(CallAction.AnswerCaller::callId, CallAction.AnswerCaller::reason));

        assertEquals(answers, Map.of(2L, Reason.HOST_STOPPED, 3L, Reason.HOST_STOPPING));
    }

    private static void callChain(List<CallEngine> engines, int depth, boolean mayRetry, int[] attempts) {
        if (depth == engines.size()) {
            attempts[0]++;
            return;
        }
        CallEngine engine = engines.get(depth);
        long now = 1_000L * (1 + attempts[0]);
        long id = now * 100 + depth;
        CallRequest request = new CallRequest(
                id, "r", "critical", true, Optional.empty(), now + 1_000_000, depth, mayRetry, true, "f" + id);
        Deque<CallAction> pending = new ArrayDeque<>(engine.handle(new CallEvent.CallArrived(now, request)));
        while (!pending.isEmpty()) {
            if (pending.poll() instanceof CallAction.StartAttempt a) {
                callChain(engines, depth + 1, a.mayRetryDownstream(), attempts);
                AttemptResult shed = new AttemptResult.NotRun(AttemptResult.NotRunCause.SHED);
                pending.addAll(engine.handle(new CallEvent.AttemptEnded(now, id, a.attempt(), shed)));
            }
        }
    }

    private static CallEngine engine(Set<EngineFeature> features, int maxBulkInFlight) {
        EngineSettings settings = new EngineSettings("entry-01", "z", 1, maxBulkInFlight, features);
        CallEngine engine = new CallEngine(settings, new SplittableRandom(1), EventRecorder.NONE);
        List<Service> services = List.of(service("critical", Criticality.CRITICAL), service("bulk", Criticality.BULK));
        engine.handle(new CallEvent.ConfigurationAccepted(
                0, new Configuration(1, "r", 1, ProbeBudget.DEFAULT, AddressRule.DEFAULT, services)));
        return engine;
    }

    private static Service service(String name, Criticality criticality) {
        List<BackendServer> servers = IntStream.range(0, 4)
                .mapToObj(i -> new BackendServer(name + i, "10.0.0.1", i + 1, "z", 3, 20, false))
                .toList();
        return Service.builder(name)
                .criticality(criticality)
                .retry(new RetryRule(MAX_ATTEMPTS, 1, 0, 0))
                .queue(QueueRule.DEFAULT)
                .servers(servers)
                .build();
    }

    private static CallRequest request(long id, String service, boolean isIdempotent) {
        return new CallRequest(
                id,
                "r" + id,
                service,
                isIdempotent,
                Optional.empty(),
                CallRequest.NO_DEADLINE,
                0,
                true,
                true,
                "f" + id);
    }

    private static long started(List<CallAction> actions) {
        return actions.stream()
                .filter(CallAction.StartAttempt.class::isInstance)
                .count();
    }
}
