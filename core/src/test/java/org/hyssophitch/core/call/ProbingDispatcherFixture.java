package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.hyssophitch.core.call.CallEvent.ProbeOutcome;
import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.configuration.QueueRule;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.configuration.RetryRule;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;
import org.testng.annotations.BeforeMethod;

/** Fixture with an engine that uses load probes, and methods that drive it in virtual time. */
abstract class ProbingDispatcherFixture {

    static final long MILLI = 1_000;
    static final long TARGET_LATENCY = 300 * MILLI;
    static final long DEADLINE = 2_500 * MILLI;

    final List<EventBody> recorded = new ArrayList<>();
    CallEngine engine;
    long now;

    @BeforeMethod
    public void setUp() {
        now = 100_000 * MILLI;
        recorded.clear();
        engine = engine(List.of("z1", "z1", "z2"));
    }

    CallRequest request(long id, String fingerprint, boolean isIdempotent) {
        return new CallRequest(
                id,
                "r" + id,
                "s",
                isIdempotent,
                Optional.empty(),
                now + DEADLINE,
                0,
                true,
                true,
                fingerprint,
                new CallPolicy(2, 1, now + TARGET_LATENCY, TARGET_LATENCY));
    }

    List<CallAction> arrive(long id) {
        return arrive(id, 0);
    }

    List<CallAction> arrive(long id, long targetShift) {
        CallPolicy policy = new CallPolicy(2, 1, now + TARGET_LATENCY + targetShift, TARGET_LATENCY);
        return engine.handle(new CallEvent.CallArrived(
                now,
                new CallRequest(
                        id, "r" + id, "s", true, Optional.empty(), now + DEADLINE, 0, true, true, "f" + id, policy)));
    }

    List<CallAction> advance(long micros) {
        now += micros;
        return engine.handle(new CallEvent.TimePassed(now));
    }

    /** Ends a load probe with the answer of a server that accepts work. */
    List<CallAction> answer(String server, int inFlight, int slowdownPercent) {
        return engine.handle(new CallEvent.LoadProbeCompleted(
                now, server, report(server, inFlight, slowdownPercent), ProbeOutcome.ACCEPTING));
    }

    List<CallAction> answerAll(int inFlight) {
        return IntStream.range(0, 3)
                .mapToObj(i -> answer("s" + i, inFlight, 100))
                .flatMap(List::stream)
                .toList();
    }

    Optional<LoadReport> report(String server, int inFlight, int slowdownPercent) {
        return Optional.of(new LoadReport(server, inFlight, now, false, slowdownPercent / 100.0));
    }

    static List<String> probed(List<CallAction> actions) {
        return actions.stream()
                .filter(CallAction.ProbeLoad.class::isInstance)
                .flatMap(a -> ((CallAction.ProbeLoad) a).servers().stream())
                .map(BackendServer::name)
                .sorted()
                .toList();
    }

    static List<String> started(List<CallAction> actions) {
        return actions.stream()
                .filter(CallAction.StartAttempt.class::isInstance)
                .map(a -> ((CallAction.StartAttempt) a).server().name())
                .toList();
    }

    static List<Long> calls(List<CallAction> actions) {
        return actions.stream()
                .filter(CallAction.StartAttempt.class::isInstance)
                .map(a -> ((CallAction.StartAttempt) a).callId())
                .toList();
    }

    CallEngine engine(List<String> zones) {
        return engine(zones, 100_000);
    }

    CallEngine engine(List<String> zones, double loadProbesPerSecond) {
        EngineSettings settings = new EngineSettings("h", "z1", 1)
                .withFleetLimits(new FleetLimits(0.2, 50, 10_000_000, loadProbesPerSecond, 1));
        EventRecorder recorder = (at, request, body) -> recorded.add(body);
        CallEngine created = new CallEngine(settings, new SplittableRandom(1), recorder);
        Service service = Service.builder("s")
                .routing(RoutingKind.ASKED_LOAD)
                .retry(RetryRule.DEFAULT)
                .queue(new QueueRule(100, 5_000, 0))
                .build();
        created.handle(new CallEvent.ConfigurationAccepted(
                now, new Configuration(1, "r", 1, ProbeBudget.DEFAULT, AddressRule.DEFAULT, List.of(service))));
        engine = created;
        register(List.of("s0", "s1", "s2"), zones);
        return created;
    }

    void register(List<String> names, List<String> zones) {
        List<RegisteredServer> servers = IntStream.range(0, names.size())
                .mapToObj(i -> new RegisteredServer(
                        "s",
                        new BackendServer(names.get(i), "10.0.0.1", 80 + i, zones.get(i), 3, 220, false, names.get(i)),
                        0))
                .toList();
        engine.handle(new CallEvent.ServersRegistered(now, Map.of("s", servers)));
    }
}
