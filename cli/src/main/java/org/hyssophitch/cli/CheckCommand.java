package org.hyssophitch.cli;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.document.DocumentReader;
import org.hyssophitch.wire.yaml.YamlResult;

/** Checks a document without writing it. */
@Command(name = "check", description = "checks a configuration document and names every fault")
@Examples(
        examples = "hyssophitch check document.yaml",
        descriptions = "prints each fault with its line; exits with 2 when there is one")
public final class CheckCommand implements ClientCommand {

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Arguments(title = "file", description = "document to check")
    @Required
    private String file;

    @Override
    public ExitCode execute() {
        return DocumentFile.text(file)
                .map(text -> switch (DocumentReader.read(text)) {
                    case YamlResult.Invalid<Configuration> i -> DocumentFile.printFaults(context, file, i.faults());
                    case YamlResult.Valid<Configuration> v -> {
                        context.print(
                                new CheckedDocument(true, v.value().services().size()), file + ": valid");
                        yield ExitCode.OK;
                    }
                })
                .orElseGet(() -> DocumentFile.notFound(Path.of(file)));
    }

    /** Output of a successful check. */
    record CheckedDocument(boolean valid, int services) {}
}
