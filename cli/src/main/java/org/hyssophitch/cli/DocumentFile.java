package org.hyssophitch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiFunction;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.document.ApplyResult;
import org.hyssophitch.document.DocumentReader;
import org.hyssophitch.wire.yaml.Fault;
import org.hyssophitch.wire.yaml.YamlResult;

/** Reads and validates documents and prints the results of writes, for several commands. Stateless. */
final class DocumentFile {

    /** Output for a document that failed validation. */
    record Faults(boolean valid, List<Fault> faults) {}

    /** Output for an accepted document. */
    record Accepted(long version, String revisionId) {}

    /** Output for a document that was rejected because another was accepted in the meantime. */
    record Conflict(String error, long currentVersion, String currentRevisionId, String currentAuthor) {}

    /** Output for a write with an unknown outcome; it may have taken effect. */
    record Unknown(String error, String cause, String revisionId) {}

    private DocumentFile() {}

    /**
     * Reads and validates a document, and passes its text and configuration on if it is valid.
     *
     * @param context output and access to the platform
     * @param file path of the document
     * @param next action for a valid document
     */
    static ExitCode withValid(ClientContext context, String file, BiFunction<String, Configuration, ExitCode> next) {
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException e) {
            System.err.println(file + ": cannot be read");
            return ExitCode.NOT_FOUND;
        }
        return switch (DocumentReader.read(text)) {
            case YamlResult.Invalid<Configuration> i -> printFaults(context, file, i.faults());
            case YamlResult.Valid<Configuration> v -> next.apply(text, v.value());
        };
    }

    private static ExitCode printFaults(ClientContext context, String file, List<Fault> faults) {
        if (context.isJson()) {
            context.printJson(new Faults(false, faults));
        } else {
            faults.forEach(f -> System.out.println(file + ": " + f.describe()));
        }
        return ExitCode.INVALID;
    }

    static ExitCode printResult(ClientContext context, String file, ApplyResult result) {
        return switch (result) {
            case ApplyResult.Invalid i -> printFaults(context, file, i.faults());
            case ApplyResult.Accepted a -> {
                context.print(new Accepted(a.version(), a.revisionId()), "accepted as version " + a.version());
                yield ExitCode.OK;
            }
            case ApplyResult.Conflict c -> {
                long version = c.current().configuration().version();
                String author = c.current().author();
                context.print(
                        new Conflict(
                                "conflict", version, c.current().configuration().revisionId(), author),
                        "conflict: version " + version + " by " + author + " was accepted in the meantime; see 'diff'");
                yield ExitCode.CONFLICT;
            }
            case ApplyResult.Unknown u -> {
                context.print(
                        new Unknown("unknown", u.cause(), u.revisionId()),
                        "outcome unknown (" + u.cause() + "); check with 'get' for revision " + u.revisionId());
                yield ExitCode.UNREACHABLE;
            }
        };
    }
}
