package org.hyssophitch.standin.command;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.hyssophitch.standin.DeploymentFiles;

/** Writes the settings files and the configuration document of a deployment. */
@Command(name = "prepare", description = "writes the settings files and the document of a deployment")
public final class PrepareCommand implements StandinCommand {

    @AirlineModule
    private ProfileOption profile = new ProfileOption();

    @Option(name = "--directory", title = "directory", description = "directory to write to")
    private String directory = "run";

    @Override
    public int execute() throws Exception {
        DeploymentFiles.write(profile.deployment(), Path.of(directory));
        return 0;
    }
}
