package org.hyssophitch.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.hyssophitch.document.DocumentStore;
import org.hyssophitch.wire.platform.PlatformClient;
import org.hyssophitch.wire.report.UnwritableValueException;
import org.hyssophitch.wire.yaml.SettingsFile;

/**
 * What all commands share: common options, output, and access to platform and agents. Not thread-safe, but for reading
 * from processes.
 */
public final class ClientContext {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Option(
            name = "--settings",
            title = "file",
            description = "settings file; default: HYSSOPHITCH_SETTINGS, else" + " hyssophitch.yaml")
    private String settingsFile = System.getenv().getOrDefault("HYSSOPHITCH_SETTINGS", "hyssophitch.yaml");

    @Option(name = "--output", title = "format", description = "text or json")
    @AllowedRawValues(allowedValues = {"text", "json"})
    private String output = "text";

    private final OkHttpClient client =
            new OkHttpClient.Builder().callTimeout(TIMEOUT).build();
    private ClientSettings settings;

    /** Returns whether the output is wanted as JSON. */
    boolean isJson() {
        return output.equals("json");
    }

    /** Prints a value as one line of JSON. */
    void printJson(Object value) {
        try {
            System.out.println(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new UnwritableValueException(value, e);
        }
    }

    /** Prints a value as JSON or a text, whichever is wanted. */
    void print(Object json, String text) {
        if (isJson()) {
            printJson(json);
        } else {
            System.out.println(text);
        }
    }

    ClientSettings settings() {
        if (settings == null) {
            settings = SettingsFile.readOrExit(Path.of(settingsFile), ClientSettings::from);
        }
        return settings;
    }

    DocumentStore documents() {
        return new DocumentStore(new PlatformClient(settings().platform()));
    }

    /** Reads JSON from a process; empty when it gives no answer. */
    Optional<JsonNode> read(String url) {
        Request request = new Request.Builder().url(url).build();
        try (Response response = client.newCall(request).execute()) {
            return response.isSuccessful()
                    ? Optional.of(MAPPER.readTree(response.body().string()))
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns the addresses at which every process tells its time line. */
    List<String> timelineUrls() {
        Stream<String> agents = settings().agents().stream().map(a -> "http://" + a + "/timeline");
        Stream<String> proxies =
                members().map(m -> "http://" + m.get("proxyAddress").asText() + "/-/timeline");
        return Stream.concat(agents, proxies).toList();
    }

    private Stream<JsonNode> members() {
        return settings().agents().stream()
                .map(a -> read("http://" + a + "/status"))
                .flatMap(Optional::stream)
                .findFirst()
                .map(s -> StreamSupport.stream(s.get("members").spliterator(), false))
                .orElse(Stream.empty());
    }
}
