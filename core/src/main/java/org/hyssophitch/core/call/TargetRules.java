package org.hyssophitch.core.call;

/**
 * Rules about calls that have a target latency and must wait for a server: how long, for how fast a server, and who
 * goes first. Stateless.
 *
 * <p>Made for overload, where each slot that a late call takes makes another call late, and for servers whose speed
 * changes, where waiting for a fast server can be better than taking a slow one.
 */
final class TargetRules {

    /** Maximum wait of a call that will miss its target, as a fraction of the time to its deadline. */
    private static final double LATE_CALL_WAIT_FRACTION = 0.2;
    /** Minimum time in microseconds that a call may wait, unless its deadline is earlier. */
    private static final long MIN_WAIT_MICROS = 60_000;
    /** Time in microseconds that a call without a target may wait. */
    private static final long DEFAULT_WAIT_MICROS = 250_000;
    /** Time in microseconds before the end of its wait from which a late call may take a server's last slot. */
    private static final long LAST_SLOT_MICROS = 40_000;

    private TargetRules() {}

    /** Returns whether the call will probably miss its target even if it starts now. */
    static boolean willMissTarget(ActiveCall call, long nowMicros) {
        CallPolicy policy = call.request().policy();
        return nowMicros + expectedMicros(call) > policy.targetMicros();
    }

    /** Returns the expected latency of the call in microseconds; 0 when it has no target latency. */
    static double expectedMicros(ActiveCall call) {
        return call.request().policy().targetLatencyMicros() * call.service().typicalLatencyShare();
    }

    /**
     * Returns the highest relative cost of a server at which the call still meets its target. A call waits for a faster
     * server while it can still meet its target there, and accepts any server once it is late.
     */
    static double maxCostForTarget(ActiveCall call, long nowMicros) {
        double expected = expectedMicros(call);
        boolean acceptsAny = expected == 0 || willMissTarget(call, nowMicros);
        return acceptsAny ? Double.MAX_VALUE : (call.request().policy().targetMicros() - nowMicros) / expected;
    }

    /**
     * Returns whether a late call leaves the last slot of a fast server to calls that can still meet their target and
     * that may be queued at any entry host. It does so until shortly before its own wait ends, so that no call is
     * rejected while a slot stays empty.
     */
    static boolean yieldsLastSlot(ActiveCall call, long nowMicros) {
        boolean willMissTarget = expectedMicros(call) > 0 && willMissTarget(call, nowMicros);
        return willMissTarget && nowMicros < call.waitUntilMicros() - LAST_SLOT_MICROS;
    }

    /**
     * Returns the time in microseconds until which a call may wait: while it can still meet its target, or for a short
     * time if it can't, as spare capacity may turn up between other calls.
     */
    static long waitUntil(ActiveCall call, long nowMicros) {
        CallPolicy policy = call.request().policy();
        long toDeadline = call.request().deadlineMicros() - nowMicros;
        if (policy.targetLatencyMicros() == 0) {
            return nowMicros + Math.min(toDeadline, DEFAULT_WAIT_MICROS);
        }
        long forTarget = policy.targetMicros() - (long) expectedMicros(call) + MIN_WAIT_MICROS;
        long forLateCall = nowMicros + Math.max(MIN_WAIT_MICROS, (long) (toDeadline * LATE_CALL_WAIT_FRACTION));
        return Math.min(
                Math.max(forTarget, willMissTarget(call, nowMicros) ? forLateCall : nowMicros + MIN_WAIT_MICROS),
                call.request().deadlineMicros());
    }
}
