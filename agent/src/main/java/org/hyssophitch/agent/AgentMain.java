package org.hyssophitch.agent;

import java.nio.file.Path;

import org.hyssophitch.wire.concurrent.Lifecycle;
import org.hyssophitch.wire.yaml.SettingsFile;

/** Entry point of {@code hyssophitch-agent}; its argument is the path of the settings file. */
public final class AgentMain {

    private AgentMain() {}

    /** Runs the agent until a stop signal arrives. */
    public static void main(String[] arguments) {
        Path file = Lifecycle.settingsArgument("hyssophitch-agent", arguments);
        Agent agent = new Agent(SettingsFile.readOrExit(file, AgentSettings::from));
        Lifecycle.stopOnSignal(agent::stop);
        agent.start();
        Lifecycle.awaitTermination();
    }
}
