package org.hyssophitch.core.call;

import java.util.random.RandomGenerator;

import org.hyssophitch.core.admission.FairOrder;
import org.hyssophitch.core.admission.ReturnSchedule;
import org.hyssophitch.core.admission.WaitForecast;

/**
 * State of one service's contention on this entry host: the order of its waiting calls, the forecast of their wait and
 * the return of rejected callers. Not thread-safe; owned by the call engine.
 */
final class ServiceContention {

    /** Interval in microseconds of checks of the waiting calls while none is added. */
    private static final long CHECK_INTERVAL_MICROS = 16_000;

    private final FairOrder order = new FairOrder();
    private final WaitForecast forecast = new WaitForecast();
    private final ReturnSchedule returns = new ReturnSchedule();
    private long nextCheckMicros;

    FairOrder order() {
        return order;
    }

    WaitForecast forecast() {
        return forecast;
    }

    /** Makes the next check due, because a call was queued. */
    void requestCheck() {
        nextCheckMicros = 0;
    }

    /** Returns whether the waiting calls have to be checked, and if so, schedules the next check. */
    boolean tryTakeCheck(long nowMicros) {
        if (nowMicros < nextCheckMicros || !forecast.isReady(nowMicros)) {
            return false;
        }
        nextCheckMicros = nowMicros + CHECK_INTERVAL_MICROS;
        return true;
    }

    /** Returns the delay in microseconds after which the caller of a rejected call should return. */
    long returnDelayMicros(ActiveCall call, long nowMicros, RandomGenerator random) {
        int priority = call.request().policy().priority();
        long expectedWait = forecast.expectedWaitMicros(priority, call.place(), nowMicros);
        return returns.delayMicros(priority, expectedWait, forecast.rate(priority, nowMicros), nowMicros, random);
    }
}
