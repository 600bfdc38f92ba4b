package org.hyssophitch.document;

import java.util.List;

import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.yaml.Fault;

/** Result of applying a configuration document. All implementations are immutable. */
public sealed interface ApplyResult {

    /**
     * The document was accepted.
     *
     * @param version version assigned to the document
     * @param revisionId id of the write
     */
    record Accepted(long version, String revisionId) implements ApplyResult {}

    /**
     * Another document has been accepted since the version that this document is based on; nothing was written.
     *
     * @param current the currently accepted document
     */
    record Conflict(ConfigurationRecord current) implements ApplyResult {}

    /** The document is invalid; nothing was written. */
    record Invalid(List<Fault> faults) implements ApplyResult {}

    /**
     * No attempt got a definite result from the platform; the write may or may not have taken effect.
     *
     * @param cause type of the last failure
     * @param revisionId id of the write, by which a later read can tell whether it took effect
     */
    record Unknown(String cause, String revisionId) implements ApplyResult {}
}
