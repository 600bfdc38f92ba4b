package org.hyssophitch.proxy;

import java.util.function.Consumer;

import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.CallEvent;

/** Element of the ring that feeds the proxy's decision duty. */
sealed interface ProxyWork {

    /** An event for the engine. */
    record Event(CallEvent event) implements ProxyWork {}

    /** A question to the engine, answered on its thread. */
    record Query(Consumer<CallEngine> reader) implements ProxyWork {}
}
