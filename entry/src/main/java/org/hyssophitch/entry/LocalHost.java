package org.hyssophitch.entry;

import java.util.OptionalLong;

import org.hyssophitch.core.call.CallEvent;

/** This entry host, as {@link Peers} describes it to the others and reports to it what they say. */
interface LocalHost {

    /** Returns the version of the configuration in force. */
    long configurationVersion();

    /** Returns whether callers may be directed to this host. */
    boolean isReady();

    /** Returns the time in microseconds since which this host has reached the store; empty while that isn't known. */
    OptionalLong storeReachableSinceMicros();

    /** Called when the others have a newer configuration although the store seems reachable. */
    void onStaleConfiguration();

    /** Called when another host says that it has reached the store since a time in microseconds. */
    void onStoreReachedSince(long sinceMicros);

    /** Returns whether a team has a quota, so that the engine has to know the hosts that own quotas. */
    default boolean hasQuotas() {
        return false;
    }

    /** Called with what the others tell that concerns the call engine. */
    void onEvent(CallEvent event);
}
