package org.hyssophitch.agent;

import java.nio.file.Path;

import org.hyssophitch.wire.concurrent.Lifecycle;
import org.hyssophitch.wire.yaml.SettingsFile;

/** Program {@code hyssophitch-agent}: takes the path of its settings file. */
public final class AgentMain {

    private AgentMain() {}

    /** Starts the agent. */
    public static void main(String[] arguments) {
        Path file = Lifecycle.settingsArgument("hyssophitch-agent", arguments);
        Agent agent = new Agent(SettingsFile.readOrExit(file, AgentSettings::from));
        Lifecycle.stopOnSignal(agent::stop);
        agent.start();
        Lifecycle.awaitTermination();
    }
}
