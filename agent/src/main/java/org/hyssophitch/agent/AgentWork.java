package org.hyssophitch.agent;

import java.util.function.Consumer;

import org.hyssophitch.core.control.AgentEngine;
import org.hyssophitch.core.control.AgentEvent;

/** Element of the ring that feeds the agent's decision duty. */
sealed interface AgentWork {

    /** An event for the engine. */
    record Event(AgentEvent event) implements AgentWork {}

    /** A question to the engine, answered on its thread. */
    record Query(Consumer<AgentEngine> reader) implements AgentWork {}
}
