package org.hyssophitch.cli;

import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.document.ApplyResult;
import org.hyssophitch.document.DocumentWriter;
import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.platform.PlatformResult;

/** Starts or ends draining of a backend server by writing a changed document. */
@Command(name = "drain", description = "drains a backend server; running requests complete")
@Examples(
        examples = {"hyssophitch drain mastwatch-3", "hyssophitch drain --undo mastwatch-3"},
        descriptions = {"the server gets no new requests", "the server gets requests again"})
public final class DrainCommand implements ClientCommand {

    @AirlineModule
    private ClientContext context = new ClientContext();

    @Option(name = "--undo", description = "ends draining")
    private boolean isUndo;

    @Option(name = "--author", title = "name", description = "author to record; default: the current user")
    private String author = System.getProperty("user.name");

    @Arguments(title = "backend server", description = "name of the backend server")
    @Required
    private String server;

    @Override
    public ExitCode execute() {
        return switch (context.documents().read()) {
            case PlatformResult.Found<ConfigurationRecord> f -> drain(f.value().configuration());
            case PlatformResult.Absent<ConfigurationRecord> a -> unknownServer();
            default -> {
                System.err.println("cannot read the document from the platform");
                yield ExitCode.UNREACHABLE;
            }
        };
    }

    private ExitCode drain(Configuration accepted) {
        if (!accepted.serversByName().containsKey(server)) {
            return unknownServer();
        }
        List<Service> services =
                accepted.services().stream().map(this::updateDraining).toList();
        String text = DocumentWriter.write(accepted.withServices(services));
        ApplyResult result = context.documents().apply(text, author, accepted.version());
        return DocumentFile.printResult(context, "document", result);
    }

    private Service updateDraining(Service s) {
        List<BackendServer> servers = s.servers().stream()
                .map(b -> b.name().equals(server) ? b.withDraining(!isUndo) : b)
                .toList();
        return s.withServers(servers);
    }

    private ExitCode unknownServer() {
        System.err.println("the accepted document has no backend server " + server);
        return ExitCode.NOT_FOUND;
    }
}
