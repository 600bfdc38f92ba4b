package org.hyssophitch.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.platform.PlatformResult;

/** Prints the accepted document. */
@Command(name = "get", description = "prints the accepted document")
@Examples(
        examples = "hyssophitch get > document.yaml",
        descriptions = "saves the document; prints its version to standard error")
public final class GetCommand implements ClientCommand {

    /** Output of the command. */
    record Document(long version, String revisionId, String author, String document) {}

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Override
    public ExitCode execute() {
        return switch (context.documents().read()) {
            case PlatformResult.Found<ConfigurationRecord> f -> print(f.value());
            case PlatformResult.Absent<ConfigurationRecord> a -> {
                System.err.println("no document has been accepted yet");
                yield ExitCode.NOT_FOUND;
            }
            default -> {
                System.err.println("cannot read the document from the platform");
                yield ExitCode.UNREACHABLE;
            }
        };
    }

    private ExitCode print(ConfigurationRecord accepted) {
        long version = accepted.configuration().version();
        if (!context.isJson()) {
            System.err.println("version " + version + " by " + accepted.author());
        }
        context.print(
                new Document(
                        version, accepted.configuration().revisionId(), accepted.author(), accepted.documentYaml()),
                accepted.documentYaml().stripTrailing());
        return ExitCode.OK;
    }
}
