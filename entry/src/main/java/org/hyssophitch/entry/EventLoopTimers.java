package org.hyssophitch.entry;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.hyssophitch.core.store.Timers;
import org.hyssophitch.wire.concurrent.WallClock;

/** Runs timers on a Netty event loop, using the wall clock. Thread-safe. */
final class EventLoopTimers implements Timers {

    private final EventLoop loop;

    EventLoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long nowMicros() {
        return WallClock.nowMicros();
    }

    @Override
    public void after(long micros, Runnable step) {
        loop.schedule(step, micros, TimeUnit.MICROSECONDS);
    }
}
