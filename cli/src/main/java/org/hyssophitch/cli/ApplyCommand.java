package org.hyssophitch.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.hyssophitch.document.ApplyResult;
import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.platform.PlatformResult;

/** Validates a document and writes it, unless another was accepted since the version that it is based on. */
@Command(name = "apply", description = "validates a document and applies it")
@Examples(
        examples = {"hyssophitch apply document.yaml", "hyssophitch apply --expect 41 document.yaml"},
        descriptions = {
            "replaces the currently accepted version",
            "exits with 3 unless version 41 is still the accepted one"
        })
public final class ApplyCommand implements ClientCommand {

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Option(
            name = "--expect",
            title = "version",
            description = "version that the document is based on; default: the accepted one")
    private long expected = -1;

    @Option(name = "--author", title = "name", description = "author to record; default: the current user")
    private String author = System.getProperty("user.name");

    @Arguments(title = "file", description = "document to apply")
    @Required
    private String file;

    @Override
    public ExitCode execute() {
        return DocumentFile.withValid(context, file, (text, configuration) -> {
            long version = expected >= 0 ? expected : acceptedVersion();
            ApplyResult result = context.documents().apply(text, author, version);
            return DocumentFile.printResult(context, file, result);
        });
    }

    private long acceptedVersion() {
        return switch (context.documents().read()) {
            case PlatformResult.Found<ConfigurationRecord> f -> f.version();
            default -> 0;
        };
    }
}
