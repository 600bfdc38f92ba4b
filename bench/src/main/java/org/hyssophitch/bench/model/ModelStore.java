package org.hyssophitch.bench.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.configuration.Configuration;

/**
 * Model of the configuration object in the object API, with conditional writes, outages and stale reads. Not
 * thread-safe; owned by one run.
 */
public final class ModelStore {

    private final List<Configuration> versions = new ArrayList<>();
    private boolean isDown;
    private boolean isStale;
    private long reads;

    /** Writes a configuration if the object has the expected version; empty on a conflict or during an outage. */
    public Optional<Configuration> write(Configuration candidate, long expectedVersion) {
        if (isDown || expectedVersion != versions.size()) {
            return Optional.empty();
        }
        versions.add(candidate.withVersion(versions.size() + 1L));
        return Optional.of(versions.getLast());
    }

    /** Reads the object: the previous version while reads are stale, and nothing during an outage. */
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

    /** Returns the number of reads so far. */
    public long reads() {
        return reads;
    }
}
