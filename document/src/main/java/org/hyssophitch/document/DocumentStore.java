package org.hyssophitch.document;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.retry.Backoff;
import org.hyssophitch.wire.platform.ConfigurationRecords;
import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.platform.PlatformClient;
import org.hyssophitch.wire.platform.PlatformResult;
import org.hyssophitch.wire.yaml.YamlResult;

/**
 * Reads and conditionally writes the configuration object. Thread-safe; calls block the caller's thread.
 *
 * <p>A write whose answer is lost is recognised by its revision id: the object tells which writes led to it.
 */
public final class DocumentStore {

    private static final int ATTEMPTS = 4;
    private static final long BASE_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private final PlatformClient client;

    /**
     * Creates a store.
     *
     * @param client client of the platform
     */
    public DocumentStore(PlatformClient client) {
        this.client = client;
    }

    /** Reads the accepted document. */
    public PlatformResult<ConfigurationRecord> read() {
        return switch (client.get(PlatformClient.CONFIGURATION)) {
            case PlatformResult.Found<byte[]> f -> decoded(f);
            case PlatformResult.Throttled<byte[]> t -> new PlatformResult.Throttled<>();
            case PlatformResult.Unreachable<byte[]> u -> new PlatformResult.Unreachable<>(u.cause());
            case PlatformResult.Absent<byte[]> a -> new PlatformResult.Absent<>();
            case PlatformResult.Written<byte[]> w -> new PlatformResult.Absent<>();
            case PlatformResult.Conflict<byte[]> c -> new PlatformResult.Absent<>();
        };
    }

    /**
     * Checks a document and writes it on the condition that the accepted one still has a version.
     *
     * @param text document
     * @param author who writes it
     * @param expectedVersion version that the document was made from; 0 when there is none yet
     */
    public ApplyResult apply(String text, String author, long expectedVersion) {
        return switch (DocumentReader.read(text)) {
            case YamlResult.Invalid<Configuration> i -> new ApplyResult.Invalid(i.faults());
            case YamlResult.Valid<Configuration> v -> write(text, v.value(), author, expectedVersion);
        };
    }

    private ApplyResult write(String text, Configuration parsed, String author, long expectedVersion) {
        String revisionId = UUID.randomUUID().toString();
        Backoff backoff = new Backoff(BASE_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, new SplittableRandom());
        ApplyResult result = new ApplyResult.Unknown("not-tried", revisionId);
        for (int i = 0; i < ATTEMPTS && result instanceof ApplyResult.Unknown; i++) {
            if (i > 0) {
                sleep(backoff.nextMillis());
            }
            result = tryWrite(text, parsed, author, expectedVersion, revisionId);
        }
        return result;
    }

    private ApplyResult tryWrite(
            String text, Configuration parsed, String author, long expectedVersion, String revisionId) {
        Optional<ConfigurationRecord> current = Optional.empty();
        switch (read()) {
            case PlatformResult.Found<ConfigurationRecord> f -> current = Optional.of(f.value());
            case PlatformResult.Absent<ConfigurationRecord> a -> current = Optional.empty();
            case PlatformResult.Throttled<ConfigurationRecord> t -> {
                return new ApplyResult.Unknown("throttled", revisionId);
            }
            case PlatformResult.Unreachable<ConfigurationRecord> u -> {
                return new ApplyResult.Unknown(u.cause(), revisionId);
            }
            case PlatformResult.Written<ConfigurationRecord> w -> current = Optional.empty();
            case PlatformResult.Conflict<ConfigurationRecord> c -> current = Optional.empty();
        }
        if (current.filter(r -> r.contains(revisionId)).isPresent()) {
            return new ApplyResult.Accepted(current.get().configuration().version(), revisionId);
        }
        if (current.filter(r -> r.configuration().version() != expectedVersion).isPresent()) {
            return new ApplyResult.Conflict(current.get());
        }
        return put(text, parsed, author, expectedVersion, revisionId, current);
    }

    private ApplyResult put(
            String text,
            Configuration parsed,
            String author,
            long expectedVersion,
            String revisionId,
            Optional<ConfigurationRecord> current) {
        Configuration named = new Configuration(
                0, revisionId, parsed.maxEntryHosts(), parsed.measuring(), parsed.addresses(), parsed.services());
        List<String> earlier =
                current.map(ConfigurationRecord::revisionsForNext).orElse(List.of());
        byte[] value = ConfigurationRecords.encode(new ConfigurationRecord(author, text, named, earlier));
        return switch (client.put(PlatformClient.CONFIGURATION, value, expectedVersion)) {
            case PlatformResult.Written<byte[]> w -> new ApplyResult.Accepted(w.version(), revisionId);
            case PlatformResult.Conflict<byte[]> c -> new ApplyResult.Unknown("conflict", revisionId);
            case PlatformResult.Throttled<byte[]> t -> new ApplyResult.Unknown("throttled", revisionId);
            case PlatformResult.Unreachable<byte[]> u -> new ApplyResult.Unknown(u.cause(), revisionId);
            case PlatformResult.Found<byte[]> f -> new ApplyResult.Unknown("unexpected-answer", revisionId);
            case PlatformResult.Absent<byte[]> a -> new ApplyResult.Unknown("unexpected-answer", revisionId);
        };
    }

    private static PlatformResult<ConfigurationRecord> decoded(PlatformResult.Found<byte[]> found) {
        return ConfigurationRecords.decode(found.value(), found.version())
                .<PlatformResult<ConfigurationRecord>>map(r -> new PlatformResult.Found<>(r, found.version()))
                .orElseGet(() -> new PlatformResult.Unreachable<>("record-malformed"));
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
