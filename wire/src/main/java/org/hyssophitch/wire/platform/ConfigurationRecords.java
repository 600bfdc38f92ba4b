package org.hyssophitch.wire.platform;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.wire.codec.ConfigurationCodec;
import org.hyssophitch.wire.generated.Wire;
import org.tinylog.Logger;

/** Maps the configuration object's value. Stateless. */
public final class ConfigurationRecords {

    /**
     * Value of the configuration object.
     *
     * @param author who wrote it
     * @param documentYaml document as its author wrote it
     * @param configuration compiled document, with the version of the object
     * @param earlierRevisions revision ids of the writes before, the latest first
     */
    public record ConfigurationRecord(
            String author, String documentYaml, Configuration configuration, List<String> earlierRevisions) {

        /** Number of earlier revision ids kept. */
        public static final int MAX_EARLIER_REVISIONS = 16;

        /** Returns whether a write is this one or one of those that led to it. */
        public boolean contains(String revisionId) {
            return configuration.revisionId().equals(revisionId) || earlierRevisions.contains(revisionId);
        }

        /** Returns the earlier revision ids of a write that follows this one. */
        public List<String> earlierRevisionsForNext() {
            return Stream.concat(Stream.of(configuration.revisionId()), earlierRevisions.stream())
                    .limit(MAX_EARLIER_REVISIONS)
                    .toList();
        }
    }

    private ConfigurationRecords() {}

    /** Encodes a record; the version is left out, because the object API gives it. */
    public static byte[] encode(ConfigurationRecord r) {
        return Wire.ConfigurationRecord.newBuilder()
                .setRevisionId(r.configuration().revisionId())
                .setAuthor(r.author())
                .setDocumentYaml(r.documentYaml())
                .setCompiled(ConfigurationCodec.encode(r.configuration().withVersion(0)))
                .addAllEarlierRevisions(r.earlierRevisions())
                .build()
                .toByteArray();
    }

    /** Decodes a record; empty when the value is none, which is logged. */
    public static Optional<ConfigurationRecord> decode(byte[] value, long version) {
        try {
            Wire.ConfigurationRecord r = Wire.ConfigurationRecord.parseFrom(value);
            Configuration c = ConfigurationCodec.decode(r.getCompiled()).withVersion(version);
            return Optional.of(new ConfigurationRecord(
                    r.getAuthor(), r.getDocumentYaml(), c, List.copyOf(r.getEarlierRevisionsList())));
        } catch (InvalidProtocolBufferException e) {
            Logger.error("configuration object of version {} can't be parsed", version);
            return Optional.empty();
        }
    }
}
