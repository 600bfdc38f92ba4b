package org.hyssophitch.core.store;

import java.util.function.Supplier;

/**
 * How a watcher watches its kind of objects. Immutable.
 *
 * @param source where it reads the objects
 * @param pacing supplies the pacing of each watch
 * @param <T> type of the decoded value
 */
public record WatchPlan<T>(ChangeSource<T> source, Supplier<WatchPacing> pacing) {}
