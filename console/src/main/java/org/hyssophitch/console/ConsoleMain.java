package org.hyssophitch.console;

import java.nio.file.Path;

import org.hyssophitch.wire.concurrent.Lifecycle;
import org.hyssophitch.wire.yaml.SettingsFile;

/** Program {@code hyssophitch-console}. Its argument is the path of the settings file. */
public final class ConsoleMain {

    private ConsoleMain() {}

    /** Runs the console until the process is stopped. */
    public static void main(String[] arguments) {
        Path file = Lifecycle.settingsArgument("hyssophitch-console", arguments);
        Console console = new Console(SettingsFile.readOrExit(file, ConsoleSettings::from));
        Lifecycle.stopOnSignal(console::stop);
        console.start();
        Lifecycle.awaitTermination();
    }
}
