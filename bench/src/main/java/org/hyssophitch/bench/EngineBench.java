package org.hyssophitch.bench;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.hyssophitch.bench.model.DeploymentConfiguration;
import org.hyssophitch.core.call.AttemptResult;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.core.timeline.ProcessTimeline;
import org.hyssophitch.standin.Deployment;

/** Measures the time that the call engine takes per call, with and without recording to the timeline. Stateless. */
public final class EngineBench {

    private static final int WARM_UP_CALLS = 100_000;
    private static final int MEASURED_CALLS = 400_000;
    private static final int EVENT_CAPACITY = 20_000;
    private static final int OK = 200;
    private static final double NANOS_PER_MICRO = 1_000;

    /**
     * Result of the measurement. Immutable.
     *
     * @param microsPerCall time in microseconds per call without recording
     * @param microsPerRecordedCall time in microseconds per call with every decision recorded
     */
    public record EngineRow(double microsPerCall, double microsPerRecordedCall) {}

    private EngineBench() {}

    /** Measures without and with recording, one after the other on one thread. */
    public static EngineRow run() {
        measure(EventRecorder.NONE, WARM_UP_CALLS);
        measure(new ProcessTimeline("bench", "z", EVENT_CAPACITY), WARM_UP_CALLS);
        double unrecorded = measure(EventRecorder.NONE, MEASURED_CALLS);
        double recorded = measure(new ProcessTimeline("bench", "z", EVENT_CAPACITY), MEASURED_CALLS);
        return new EngineRow(unrecorded, recorded);
    }

    private static double measure(EventRecorder recorder, int calls) {
        CallEngine engine =
                new CallEngine(new EngineSettings("entry-01", "inverness-hall", 1), new SplittableRandom(1), recorder);
        engine.handle(new CallEvent.ConfigurationAccepted(
                0, DeploymentConfiguration.of(Deployment.GLENMORVEN).withVersion(1)));
        long started = System.nanoTime();
        for (int i = 1; i <= calls; i++) {
            callOnce(engine, i);
        }
        return (System.nanoTime() - started) / NANOS_PER_MICRO / calls;
    }

    private static void callOnce(CallEngine engine, int id) {
        long now = id * 100L;
        CallRequest request = new CallRequest(
                id, "r", "mastwatch", true, Optional.empty(), CallRequest.NO_DEADLINE, 0, true, true, "f");
        engine.handle(new CallEvent.CallArrived(now, request));
        LoadReport report = new LoadReport("mastwatch-" + (1 + id % 8), id % 4, now, false);
        engine.handle(new CallEvent.LoadReportsReceived(now, List.of(report)));
        engine.handle(new CallEvent.AnswerStarted(now + 50, id, 1, OK));
        engine.handle(new CallEvent.AttemptEnded(now + 60, id, 1, new AttemptResult.Completed()));
        engine.handle(new CallEvent.TimePassed(now + 60));
    }
}
