package org.hyssophitch.entry;

import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.wire.net.HttpQuery;

/** Request of an entry host to a relay about one kind of objects. Every request is immutable. */
sealed interface RelayRequest {

    String OBJECTS = "/objects/";
    String CHANGES = "/changes/";
    String EPOCH = "epoch";
    String REVISION = "revision";
    String WAIT = "wait_millis";

    /** Returns the name of the kind. */
    String kind();

    /** Returns path and query. */
    String target();

    /** Request for all objects. */
    record Objects(String kind) implements RelayRequest {
        @Override
        public String target() {
            return OBJECTS + kind;
        }
    }

    /**
     * Request for changes.
     *
     * @param since position after which changes are returned
     * @param waitMillis maximum time in milliseconds to wait for a change
     */
    record Changes(String kind, StorePosition since, int waitMillis) implements RelayRequest {
        @Override
        public String target() {
            return CHANGES
                    + kind
                    + '?'
                    + EPOCH
                    + '='
                    + since.epoch()
                    + '&'
                    + REVISION
                    + '='
                    + since.revision()
                    + '&'
                    + WAIT
                    + '='
                    + waitMillis;
        }
    }

    /** Reads a request; its kind is empty if the path is unknown. */
    static RelayRequest of(HttpQuery q) {
        if (q.path().startsWith(OBJECTS)) {
            return new Objects(q.path().substring(OBJECTS.length()));
        }
        String kind = q.path().startsWith(CHANGES) ? q.path().substring(CHANGES.length()) : "";
        StorePosition since = new StorePosition(q.parameter(EPOCH, 0L), q.parameter(REVISION, 0L));
        return new Changes(kind, since, (int) q.parameter(WAIT, 0L));
    }
}
