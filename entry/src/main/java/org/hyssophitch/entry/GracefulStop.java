package org.hyssophitch.entry;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.http.FrontListener;
import org.hyssophitch.wire.concurrent.Pause;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.EventLoops;

/**
 * Ends the front of an entry host within its grace period: still accepts requests for callers that have this host's
 * address cached, then stops listening and waits for in-flight requests. Runs on a thread that may block.
 */
final class GracefulStop {

    /** Fraction of the grace period during which a stopping host still accepts new requests. */
    private static final double ACCEPT_FRACTION = 0.55;
    /** Fraction of the grace period after which the process exits even if requests are still in flight. */
    private static final double FORCED_EXIT_FRACTION = 0.95;

    private static final long DRAIN_POLL_MILLIS = 50;

    private final EventLoop loop;
    private final FrontListener front;
    private final EventRecorder log;
    private final long startNanos = System.nanoTime();

    GracefulStop(EventLoop loop, FrontListener front, EventRecorder log) {
        this.loop = loop;
        this.front = front;
        this.log = log;
    }

    /** Blocks until nothing is left to be cut off, or the grace period is nearly over. */
    void awaitEnd(long gracePeriodMillis) {
        Pause.millis((long) (gracePeriodMillis * ACCEPT_FRACTION));
        EventLoops.run(loop, front::stopListening);
        while (EventLoops.call(loop, front::isBusy) && elapsedMillis() < gracePeriodMillis * FORCED_EXIT_FRACTION) {
            Pause.millis(DRAIN_POLL_MILLIS);
        }
        EventLoops.run(loop, this::reportEnd);
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
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
