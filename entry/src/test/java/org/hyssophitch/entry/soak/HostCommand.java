package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.hyssophitch.entry.EntryMain;

/** Command line of an entry host: the options of the deploy file with the classes under test. */
final class HostCommand {

    private static final String DEPLOY_FILE = "deploy/system.toml";
    private static final Pattern RUN = Pattern.compile("^run = \"\\S+ (.*) -jar \\S+\"$", Pattern.MULTILINE);

    private HostCommand() {}

    static List<String> words() throws IOException {
        Matcher run = RUN.matcher(Files.readString(root().resolve(DEPLOY_FILE)));
        if (!run.find()) {
            throw new IOException("no run command in " + DEPLOY_FILE);
        }
        Stream<String> options =
                Arrays.stream(run.group(1).split(" ")).filter(o -> !o.startsWith("-XX:SharedArchiveFile"));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return Stream.of(Stream.of(java), options, Stream.of("-cp", classPath(), EntryMain.class.getName()))
                .flatMap(s -> s)
                .toList();
    }

    /** Surefire starts its JVM with a jar that names the class path, and states the path itself in a property. */
    private static String classPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    /** Returns the root of the repository, which is the working directory or a parent of it. */
    static Path root() {
        try {
            return Stream.iterate(Path.of("").toRealPath(), p -> p != null, Path::getParent)
                    .filter(p -> Files.exists(p.resolve(DEPLOY_FILE)))
                    .findFirst()
                    .orElseThrow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
