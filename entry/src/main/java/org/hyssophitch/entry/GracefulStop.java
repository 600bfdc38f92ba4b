package org.hyssophitch.entry;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.hyssophitch.core.entry.StopPlan;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.http.FrontListener;
import org.hyssophitch.wire.concurrent.Pause;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.EventLoops;

/**
 * Ends the front of an entry host by the plan of its stop: still listens for callers that have this host's address
 * cached, then waits for in-flight requests. Runs on a thread that may block.
 */
final class GracefulStop {

    private static final long DRAIN_POLL_MILLIS = 50;

    private final EventLoop loop;
    private final FrontListener front;
    private final EventRecorder log;
    private final StopPlan plan;

    GracefulStop(EventLoop loop, FrontListener front, EventRecorder log, StopPlan plan) {
        this.loop = loop;
        this.front = front;
        this.log = log;
        this.plan = plan;
    }

    /** Blocks until nothing is left to be cut off, or the grace period is nearly over. */
    void awaitEnd() {
        Pause.millis(TimeUnit.MICROSECONDS.toMillis(plan.listenUntilMicros() - WallClock.nowMicros()));
        EventLoops.run(loop, front::stopListening);
        awaitUntil(plan.finalAnswersMicros());
        EventLoops.run(loop, front::endCalls);
        awaitUntil(plan.exitMicros());
        EventLoops.run(loop, this::reportEnd);
    }

    private void awaitUntil(long endMicros) {
        while (EventLoops.call(loop, front::isBusy) && WallClock.nowMicros() < endMicros) {
            Pause.millis(DRAIN_POLL_MILLIS);
        }
    }

    private void reportEnd() {
        front.reportUnfinished();
        log.record(
                WallClock.nowMicros(),
                "",
                new EventBody.StopEnded(
                        elapsedMillis(), front.refusedAtStop(), front.unfinishedAtStop(), front.connections()));
    }

    private long elapsedMillis() {
        return TimeUnit.MICROSECONDS.toMillis(WallClock.nowMicros() - plan.startMicros());
    }
}
