package org.hyssophitch.standin.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.hyssophitch.standin.FakeBackendServers;
import org.hyssophitch.wire.concurrent.Lifecycle;

/** Runs the fake backend servers of a deployment until the process is stopped. */
@Command(name = "servers", description = "runs the fake backend servers of a deployment")
public final class ServersCommand implements StandinCommand {

    @AirlineModule
    private ProfileOption profile = new ProfileOption();

    @Option(name = "--seed", title = "seed", description = "seed of the servers' random service times")
    private long seed = 1;

    @Override
    public int execute() {
        FakeBackendServers servers = new FakeBackendServers(profile.deployment(), seed);
        Lifecycle.stopOnSignal(servers::close);
        System.err.println("fake backend servers running; control address "
                + profile.deployment().serverControl());
        Lifecycle.awaitTermination();
        return 0;
    }
}
