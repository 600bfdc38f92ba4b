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
import org.hyssophitch.wire.net.StrictResponseInterceptor;
import org.hyssophitch.wire.platform.PlatformClient;
import org.hyssophitch.wire.report.UnwritableValueException;
import org.hyssophitch.wire.yaml.SettingsFile;

/**
 * Options, output and clients that all commands share. Not thread-safe, except for {@link #fetchJson}.
 */
public final class ClientContext {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Option(
            name = "--settings",
            title = "file",
            description = "settings file; default: HYSSOPHITCH_SETTINGS, else" + " hyssophitch.yaml")
    private String settingsFile = System.getenv().getOrDefault("HYSSOPHITCH_SETTINGS", "hyssophitch.yaml");

    @Option(name = "--output", title = "format", description = "output format: text or json")
    @AllowedRawValues(allowedValues = {"text", "json"})
    private String output = "text";

    private final OkHttpClient client = new OkHttpClient.Builder()
            .callTimeout(REQUEST_TIMEOUT)
            .addNetworkInterceptor(new StrictResponseInterceptor())
            .build();
    private ClientSettings settings;

    /** Returns whether the output format is JSON. */
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

    /** Prints the value as JSON or the text, depending on the output format. */
    void print(Object json, String text) {
        if (isJson()) {
            printJson(json);
        } else {
            System.out.println(text);
        }
    }

    /** Returns the settings; the first call reads the file and exits the process if it is invalid. */
    ClientSettings settings() {
        if (settings == null) {
            settings = SettingsFile.readOrExit(Path.of(settingsFile), ClientSettings::from);
        }
        return settings;
    }

    DocumentStore documents() {
        return new DocumentStore(new PlatformClient(settings().platform()));
    }

    /** Fetches JSON from a process; empty if it does not respond or responds with an error. */
    Optional<JsonNode> fetchJson(String url) {
        Request request = new Request.Builder().url(url).build();
        try (Response response = client.newCall(request).execute()) {
            return response.isSuccessful()
                    ? Optional.of(MAPPER.readTree(response.body().string()))
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns the timeline URLs of all agents, and of the proxies that the first agent to respond lists. */
    List<String> timelineUrls() {
        Stream<String> agents = settings().agents().stream().map(a -> "http://" + a + "/timeline");
        Stream<String> proxies =
                members().map(m -> "http://" + m.get("proxyAddress").asText() + "/-/timeline");
        return Stream.concat(agents, proxies).toList();
    }

    private Stream<JsonNode> members() {
        return settings().agents().stream()
                .map(a -> fetchJson("http://" + a + "/status"))
                .flatMap(Optional::stream)
                .findFirst()
                .map(s -> StreamSupport.stream(s.get("members").spliterator(), false))
                .orElse(Stream.empty());
    }
}
