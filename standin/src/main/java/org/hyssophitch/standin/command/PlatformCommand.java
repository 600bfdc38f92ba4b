package org.hyssophitch.standin.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.hyssophitch.standin.DeploymentFiles;
import org.hyssophitch.standin.FakePlatform;
import org.hyssophitch.wire.concurrent.Lifecycle;

/** Runs the fake platform until the process is stopped. */
@Command(name = "platform", description = "runs the fake platform: object API and host list")
public final class PlatformCommand implements StandinCommand {

    @AirlineModule
    private ProfileOption profile = new ProfileOption();

    @Override
    public int execute() {
        FakePlatform platform = new FakePlatform(profile.deployment().platform());
        platform.setHosts(DeploymentFiles.hostList(profile.deployment()));
        Lifecycle.stopOnSignal(platform::close);
        System.err.println("fake platform listening at " + profile.deployment().platform());
        Lifecycle.awaitTermination();
        return 0;
    }
}
