package org.hyssophitch.core.store;

import java.util.List;

/**
 * Part of the objects of one kind, in the order of their names. Immutable.
 *
 * @param items the objects
 * @param hasMore whether more objects follow
 * @param lastName name of the last object, from which to continue; empty when there is none
 * @param revision revision of the store that the page shows
 * @param <T> kind of value
 */
public record StorePage<T>(List<StoredObject<T>> items, boolean hasMore, String lastName, long revision) {}
