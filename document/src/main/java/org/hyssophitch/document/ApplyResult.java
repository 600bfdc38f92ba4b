package org.hyssophitch.document;

import java.util.List;

import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.yaml.Fault;

/** Result of an attempt to accept a document. Every result is immutable. */
public sealed interface ApplyResult {

    /**
     * The document was accepted.
     *
     * @param version version that it got
     * @param revisionId identity of the write
     */
    record Accepted(long version, String revisionId) implements ApplyResult {}

    /**
     * Another document was accepted since the one that this document was made from; nothing was written.
     *
     * @param current the accepted document
     */
    record Conflict(ConfigurationRecord current) implements ApplyResult {}

    /** The document has faults; nothing was written. */
    record Invalid(List<Fault> faults) implements ApplyResult {}

    /**
     * The platform gave no answer; whether the write took effect is not known.
     *
     * @param cause type of failure
     * @param revisionId identity of the write, by which it can be recognised later
     */
    record Unknown(String cause, String revisionId) implements ApplyResult {}
}
