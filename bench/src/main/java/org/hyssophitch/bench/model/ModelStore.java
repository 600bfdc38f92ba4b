package org.hyssophitch.bench.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.configuration.Configuration;

/**
 * Model of the configuration object in the object API: conditional writes, outages, reads of older copies. Not
 * thread-safe; one run owns it.
 */
public final class ModelStore {

    private final List<Configuration> versions = new ArrayList<>();
    private boolean isDown;
    private boolean isStale;
    private long reads;

    /** Writes on the condition that the object has a version; returns the new version. */
    public Optional<Configuration> write(Configuration candidate, long expectedVersion) {
        if (isDown || expectedVersion != versions.size()) {
            return Optional.empty();
        }
        versions.add(candidate.withVersion(versions.size() + 1L));
        return Optional.of(versions.getLast());
    }

    /** Reads the object; an older copy while reads are stale, nothing during an outage. */
    public Optional<Configuration> read() {
        reads++;
        if (isDown || versions.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(isStale && versions.size() > 1 ? versions.get(versions.size() - 2) : versions.getLast());
    }

    public void setDown(boolean value) {
        isDown = value;
    }

    public void setStale(boolean value) {
        isStale = value;
    }

    public long version() {
        return versions.size();
    }

    /** Returns the reads so far. */
    public long reads() {
        return reads;
    }
}
