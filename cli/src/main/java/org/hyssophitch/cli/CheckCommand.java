package org.hyssophitch.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Validates a document without writing it. */
@Command(name = "check", description = "validates a configuration document and lists every error")
@Examples(
        examples = "hyssophitch check document.yaml",
        descriptions = "prints each error with its line; exits with 2 if there is one")
public final class CheckCommand implements ClientCommand {

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Arguments(title = "file", description = "document to validate")
    @Required
    private String file;

    @Override
    public ExitCode execute() {
        return DocumentFile.withValid(context, file, (text, configuration) -> {
            context.print(
                    new CheckedDocument(
                            true,
                            configuration.services().size(),
                            configuration.routes().size(),
                            configuration.teams().size()),
                    file + ": valid");
            return ExitCode.OK;
        });
    }

    /** Output of a successful check. */
    record CheckedDocument(boolean valid, int services, int routes, int teams) {}
}
