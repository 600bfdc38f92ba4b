package org.hyssophitch.proxy;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * How far one attempt got, which decides whether its failure proves that the request was not run. Thread-safe.
 */
final class AttemptProgress extends EventListener {

    private volatile boolean isRequestBegun;

    /** Returns whether a byte of the request may have left this host. */
    boolean isRequestBegun() {
        return isRequestBegun;
    }

    @Override
    public void requestHeadersStart(Call call) {
        isRequestBegun = true;
    }
}
