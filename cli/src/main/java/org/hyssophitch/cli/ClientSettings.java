package org.hyssophitch.cli;

import java.util.List;

import org.hyssophitch.wire.yaml.YamlMapping;

/**
 * Settings of the command-line client. Immutable.
 *
 * @param platform address of the platform, {@code ip:port}
 * @param agents HTTP addresses of the agents, {@code ip:port}
 */
public record ClientSettings(String platform, List<String> agents) {

    /** Reads the settings from the mapping of a settings file. */
    public static ClientSettings from(YamlMapping m) {
        return new ClientSettings(m.address("platform"), m.texts("agents"));
    }
}
