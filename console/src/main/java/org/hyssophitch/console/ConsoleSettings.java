package org.hyssophitch.console;

import org.hyssophitch.wire.yaml.YamlMapping;

/**
 * Settings of the console process. Immutable.
 *
 * @param listenHost IP address for browsers
 * @param listenPort TCP port for browsers
 * @param platform address of the platform, {@code ip:port}
 */
public record ConsoleSettings(String listenHost, int listenPort, String platform) {

    private static final String ADDRESS = "[0-9a-fA-F.:]+:\\d{1,5}";
    private static final String ADDRESS_HELP = "an address of the form ip:port";

    /** Takes the settings out of a settings file. */
    public static ConsoleSettings from(YamlMapping m) {
        String listen = m.text("listen", ADDRESS, ADDRESS_HELP);
        int colon = listen.lastIndexOf(':');
        return new ConsoleSettings(
                listen.substring(0, Math.max(0, colon)),
                listen.matches(ADDRESS) ? Integer.parseInt(listen.substring(colon + 1)) : 0,
                m.text("platform", ADDRESS, ADDRESS_HELP));
    }
}
