package org.hyssophitch.core.store;

/**
 * What a relay states about its view of one kind of objects. Immutable.
 *
 * @param kind name of the kind
 * @param position position of the store up to which the relay has passed on changes
 * @param completeMillis time in milliseconds up to which the view is known to be complete, counted from the arrival of
 *     the request that is answered; negative if it lies before that
 */
public record RelayedView(String kind, StorePosition position, long completeMillis) {}
