package org.hyssophitch.entry;

import java.util.OptionalLong;

import org.hyssophitch.core.call.CallEvent;

/** Local host that is ready and ignores what the others say. */
class CalmHost implements LocalHost {

    @Override
    public long configurationVersion() {
        return 1;
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public OptionalLong storeReachableSinceMicros() {
        return OptionalLong.empty();
    }

    @Override
    public void onStaleConfiguration() {
        // The configuration never changes.
    }

    @Override
    public void onStoreReachedSince(long sinceMicros) {
        // No registrations are watched.
    }

    @Override
    public void onEvent(CallEvent event) {
        // No calls are handled.
    }
}
