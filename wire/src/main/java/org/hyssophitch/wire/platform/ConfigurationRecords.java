package org.hyssophitch.wire.platform;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.wire.codec.ConfigurationCodec;
import org.hyssophitch.wire.generated.Wire;
import org.tinylog.Logger;

/** Converts the value of the configuration object to and from protobuf. Stateless. */
public final class ConfigurationRecords {

    /**
     * Value of the configuration object.
     *
     * @param author author of the write
     * @param documentYaml configuration document as submitted by its author
     * @param configuration configuration compiled from the document, with the version of the object
     * @param earlierRevisions revision ids of the preceding writes, latest first
     */
    public record ConfigurationRecord(
            String author, String documentYaml, Configuration configuration, List<String> earlierRevisions) {

        /** Maximum number of earlier revision ids in a record. */
        public static final int MAX_EARLIER_REVISIONS = 16;

        /** Returns whether this record is the result of a write or lists that write among the earlier ones. */
        public boolean contains(String revisionId) {
            return configuration.revisionId().equals(revisionId) || earlierRevisions.contains(revisionId);
        }

        /** Returns the earlier revision ids for the record of the next write. */
        public List<String> earlierRevisionsForNext() {
            return Stream.concat(Stream.of(configuration.revisionId()), earlierRevisions.stream())
                    .limit(MAX_EARLIER_REVISIONS)
                    .toList();
        }
    }

    private ConfigurationRecords() {}

    /** Encodes a record without its version, which the object API assigns. */
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

    /** Decodes a record; returns empty, and logs an error, when the value is malformed. */
    public static Optional<ConfigurationRecord> decode(byte[] value, long version) {
        try {
            Wire.ConfigurationRecord r = Wire.ConfigurationRecord.parseFrom(value);
            Configuration c = ConfigurationCodec.decode(r.getCompiled()).withVersion(version);
            return Optional.of(new ConfigurationRecord(
                    r.getAuthor(), r.getDocumentYaml(), c, List.copyOf(r.getEarlierRevisionsList())));
        } catch (InvalidProtocolBufferException e) {
            Logger.error("failed to parse version {} of the configuration object", version);
            return Optional.empty();
        }
    }
}
