package org.hyssophitch.document;

import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.retry.Backoff;
import org.hyssophitch.wire.concurrent.Pause;
import org.hyssophitch.wire.platform.ConfigurationRecords;
import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.platform.PlatformClient;
import org.hyssophitch.wire.platform.PlatformResult;
import org.hyssophitch.wire.yaml.YamlResult;

/**
 * Reads the configuration object from the platform and writes it with optimistic locking. Thread-safe; calls block.
 *
 * <p>A write whose response was lost is retried. If it had taken effect, the retry recognises it by its revision id,
 * because the object keeps the revision ids of the preceding writes.
 */
public final class DocumentStore {

    private static final int MAX_ATTEMPTS = 4;
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

    /** Reads the currently accepted document. */
    public PlatformResult<ConfigurationRecord> read() {
        return client.get(PlatformClient.CONFIGURATION).flatMap(DocumentStore::decode);
    }

    /**
     * Validates a document and writes it, provided that the accepted document still has the expected version. Retries
     * with backoff while the result is unknown.
     *
     * @param text text of the document
     * @param author name of the operator who writes it
     * @param expectedVersion version that the document is based on; 0 if none has been accepted yet
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
        for (int i = 0; i < MAX_ATTEMPTS && result instanceof ApplyResult.Unknown; i++) {
            if (i > 0) {
                Pause.millis(backoff.nextMillis());
            }
            result = tryWrite(text, parsed, author, expectedVersion, revisionId);
        }
        return result;
    }

    private ApplyResult tryWrite(
            String text, Configuration parsed, String author, long expectedVersion, String revisionId) {
        return switch (read()) {
            case PlatformResult.Found<ConfigurationRecord> f ->
                replace(f.value(), text, parsed, author, expectedVersion, revisionId);
            case PlatformResult.Absent<ConfigurationRecord> a ->
                put(text, parsed, author, expectedVersion, revisionId, List.of());
            case PlatformResult.Throttled<ConfigurationRecord> t -> new ApplyResult.Unknown("throttled", revisionId);
            case PlatformResult.Unreachable<ConfigurationRecord> u -> new ApplyResult.Unknown(u.cause(), revisionId);
            case PlatformResult.Written<ConfigurationRecord> w -> unexpectedResult(revisionId);
            case PlatformResult.Conflict<ConfigurationRecord> c -> unexpectedResult(revisionId);
        };
    }

    private ApplyResult replace(
            ConfigurationRecord current,
            String text,
            Configuration parsed,
            String author,
            long expectedVersion,
            String revisionId) {
        long version = current.configuration().version();
        if (current.contains(revisionId)) {
            return new ApplyResult.Accepted(version, revisionId);
        }
        if (version < expectedVersion) {
            // The platform may return a stale object; the next attempt reads it again.
            return new ApplyResult.Unknown("older-copy", revisionId);
        }
        return version > expectedVersion
                ? new ApplyResult.Conflict(current)
                : put(text, parsed, author, expectedVersion, revisionId, current.earlierRevisionsForNext());
    }

    private ApplyResult put(
            String text,
            Configuration parsed,
            String author,
            long expectedVersion,
            String revisionId,
            List<String> earlierRevisions) {
        Configuration withId = parsed.withRevisionId(revisionId);
        byte[] value = ConfigurationRecords.encode(new ConfigurationRecord(author, text, withId, earlierRevisions));
        return switch (client.put(PlatformClient.CONFIGURATION, value, expectedVersion)) {
            case PlatformResult.Written<byte[]> w -> new ApplyResult.Accepted(w.version(), revisionId);
            // An earlier attempt of this write may have caused the conflict; the next attempt reads the object to tell.
            case PlatformResult.Conflict<byte[]> c -> new ApplyResult.Unknown("conflict", revisionId);
            case PlatformResult.Throttled<byte[]> t -> new ApplyResult.Unknown("throttled", revisionId);
            case PlatformResult.Unreachable<byte[]> u -> new ApplyResult.Unknown(u.cause(), revisionId);
            case PlatformResult.Found<byte[]> f -> unexpectedResult(revisionId);
            case PlatformResult.Absent<byte[]> a -> unexpectedResult(revisionId);
        };
    }

    private static ApplyResult unexpectedResult(String revisionId) {
        return new ApplyResult.Unknown("unexpected-answer", revisionId);
    }

    private static PlatformResult<ConfigurationRecord> decode(PlatformResult.Found<byte[]> found) {
        return ConfigurationRecords.decode(found.value(), found.version())
                .<PlatformResult<ConfigurationRecord>>map(r -> new PlatformResult.Found<>(r, found.version()))
                .orElseGet(() -> new PlatformResult.Unreachable<>("record-malformed"));
    }
}
