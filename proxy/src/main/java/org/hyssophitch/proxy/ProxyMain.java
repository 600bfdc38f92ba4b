package org.hyssophitch.proxy;

import java.nio.file.Path;

import org.hyssophitch.wire.concurrent.Lifecycle;
import org.hyssophitch.wire.yaml.SettingsFile;

/** Entry point of {@code hyssophitch-proxy}; its argument is the path of the settings file. */
public final class ProxyMain {

    private ProxyMain() {}

    /** Runs the proxy until a stop signal arrives. */
    public static void main(String[] arguments) {
        Path file = Lifecycle.settingsArgument("hyssophitch-proxy", arguments);
        Proxy proxy = new Proxy(SettingsFile.readOrExit(file, ProxySettings::from));
        Lifecycle.stopOnSignal(proxy::stop);
        proxy.start();
        Lifecycle.awaitTermination();
    }
}
