package org.hyssophitch.console;

import org.hyssophitch.wire.yaml.YamlMapping;

/**
 * Settings of the console process. Immutable.
 *
 * @param listen address of the HTTP server, {@code ip:port}
 * @param platform address of the platform, {@code ip:port}
 */
public record ConsoleSettings(String listen, String platform) {

    /** Reads the settings from the mapping of a settings file. */
    public static ConsoleSettings from(YamlMapping m) {
        return new ConsoleSettings(m.address("listen"), m.address("platform"));
    }
}
