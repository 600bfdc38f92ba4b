package org.hyssophitch.entry;

import java.util.LinkedHashMap;
import java.util.Map;

import org.hyssophitch.core.store.InvalidObject;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.wire.concurrent.WallClock;

/**
 * Records and counts the objects of the store that can't be used, each when it is first seen and when it changes: every
 * list returns them again. Not thread-safe; confined to the event loop.
 */
final class InvalidObjectLog {

    /** Maximum number of objects remembered; the one seen longest ago is forgotten. */
    private static final int MAX_OBJECTS = 1_000;

    private record Key(String kind, String name) {}

    private record State(long revision, String problem) {}

    private final EntryMetrics metrics;
    private final EventRecorder recorder;
    private final Map<Key, State> known = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, State> eldest) {
            return size() > MAX_OBJECTS;
        }
    };

    InvalidObjectLog(EntryMetrics metrics, EventRecorder recorder) {
        this.metrics = metrics;
        this.recorder = recorder;
    }

    void onInvalid(InvalidObject o) {
        State state = new State(o.revision(), o.problem());
        if (!state.equals(known.put(new Key(o.kind(), o.name()), state))) {
            metrics.onObjectIgnored(o.kind());
            recorder.record(
                    WallClock.nowMicros(), "", new EventBody.StoreObjectIgnored(o.kind(), o.name(), o.problem()));
        }
    }
}
