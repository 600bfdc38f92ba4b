package org.hyssophitch.standin.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.hyssophitch.standin.DeploymentFiles;
import org.hyssophitch.standin.PlatformStandin;
import org.hyssophitch.wire.concurrent.Lifecycle;

/** Runs the stand-in for the platform until it is stopped. */
@Command(name = "platform", description = "runs the stand-in for the platform: object API and host list")
public final class PlatformCommand implements StandinCommand {

    @AirlineModule
    private ProfileOption profile = new ProfileOption();

    @Override
    public int execute() {
        PlatformStandin platform = new PlatformStandin(profile.deployment().platform());
        platform.setHosts(DeploymentFiles.hostList(profile.deployment()));
        Lifecycle.stopOnSignal(platform::close);
        System.err.println("platform stand-in at " + profile.deployment().platform());
        Lifecycle.awaitTermination();
        return 0;
    }
}
