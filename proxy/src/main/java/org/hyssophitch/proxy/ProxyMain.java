package org.hyssophitch.proxy;

import java.nio.file.Path;

import org.hyssophitch.wire.concurrent.Lifecycle;
import org.hyssophitch.wire.yaml.SettingsFile;

/** Program {@code hyssophitch-proxy}: takes the path of its settings file. */
public final class ProxyMain {

    private ProxyMain() {}

    /** Starts the proxy. */
    public static void main(String[] arguments) {
        Path file = Lifecycle.settingsArgument("hyssophitch-proxy", arguments);
        Proxy proxy = new Proxy(SettingsFile.readOrExit(file, ProxySettings::from));
        Lifecycle.stopOnSignal(proxy::stop);
        proxy.start();
        Lifecycle.awaitTermination();
    }
}
