package org.hyssophitch.wire.yaml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;

import org.hyssophitch.core.UnknownCaseException;

/** Reads the settings file of a process. Stateless. */
public final class SettingsFile {

    /** Exit code of a process with invalid settings. */
    public static final int EXIT_WRONG_SETTINGS = 78;

    private SettingsFile() {}

    /** Reads a settings file; the result contains every fault if it is invalid. */
    public static <T> YamlResult<T> read(Path file, Function<YamlMapping, T> mapper) {
        try {
            return YamlReader.read(Files.readString(file), mapper);
        } catch (IOException e) {
            Fault fault = new Fault(Fault.Kind.MALFORMED, "", 0, e.getClass().getSimpleName(), "a file " + file);
            return new YamlResult.Invalid<>(List.of(fault));
        }
    }

    /** Reads a settings file; if it is invalid, prints every fault to standard error and ends the process. */
    public static <T> T readOrExit(Path file, Function<YamlMapping, T> mapper) {
        return switch (read(file, mapper)) {
            case YamlResult.Valid<T> v -> v.value();
            case YamlResult.Invalid<T> i -> {
                i.faults().forEach(f -> System.err.println(file + ": " + f.describe()));
                System.exit(EXIT_WRONG_SETTINGS);
                throw new UnknownCaseException("returned from System.exit");
            }
        };
    }
}
