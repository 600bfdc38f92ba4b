package org.hyssophitch.core.store;

import java.util.List;

/**
 * One page of the objects of one kind, ordered by name. Immutable.
 *
 * @param items the objects
 * @param hasMore whether more pages follow
 * @param lastName name of the last object, after which the next page begins; empty for an empty page
 * @param position position of the store at which the page was read
 * @param <T> type of the decoded value
 */
public record StorePage<T>(List<StoredObject<T>> items, boolean hasMore, String lastName, StorePosition position) {}
