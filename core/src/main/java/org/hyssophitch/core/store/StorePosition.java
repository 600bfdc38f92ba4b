package org.hyssophitch.core.store;

/**
 * Point in the history of the platform's store. Immutable.
 *
 * <p>Revisions are comparable only within an epoch: a store that was restored from a copy issues some revisions again
 * for other content.
 *
 * @param epoch number that rises whenever the store is restored from a copy; 0 if the store reports none
 * @param revision revision of the store
 */
public record StorePosition(long epoch, long revision) {

    /** Position of a watcher that has read nothing yet. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    /** Returns whether the revisions of both positions can be compared. */
    public boolean isSameEpoch(StorePosition other) {
        return epoch == other.epoch;
    }

    /** Returns the later one of two positions of the same epoch. */
    public StorePosition max(StorePosition other) {
        return other.revision > revision ? other : this;
    }
}
