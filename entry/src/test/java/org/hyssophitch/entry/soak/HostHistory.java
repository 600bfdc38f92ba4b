package org.hyssophitch.entry.soak;

import java.util.List;
import java.util.OptionalLong;

import org.hyssophitch.entry.soak.Event.HostChange;

/** The changes of one host's process, in order of time. */
record HostHistory(List<Event.HostChanged> changes) {

    static HostHistory of(String host, List<Event> events) {
        return new HostHistory(Story.only(events, Event.HostChanged.class)
                .filter(c -> c.host().equals(host))
                .toList());
    }

    /** Returns the time of the last SIGTERM up to a moment. */
    OptionalLong lastTermination(long millis) {
        return changes.stream()
                .filter(c -> c.change() == HostChange.SIGTERM && c.millis() <= millis)
                .mapToLong(Event.HostChanged::millis)
                .max();
    }

    /** Returns whether the host was paused, killed within its grace period or ended by itself within a time. */
    boolean hasUnplannedChange(long fromMillis, long toMillis) {
        return changes.stream()
                        .filter(c -> c.millis() >= fromMillis && c.millis() <= toMillis)
                        .anyMatch(c -> isUnplanned(c))
                || isPaused(fromMillis);
    }

    private boolean isUnplanned(Event.HostChanged c) {
        return switch (c.change()) {
            case PAUSED, RESUMED -> true;
            case SIGKILL -> !isAfterGracePeriod(c.millis());
            case EXITED -> !isExpected(c);
            default -> false;
        };
    }

    private boolean isPaused(long millis) {
        return changes.stream()
                .filter(c -> c.change() == HostChange.PAUSED || c.change() == HostChange.RESUMED)
                .filter(c -> c.millis() <= millis)
                .reduce((a, b) -> b)
                .map(c -> c.change() == HostChange.PAUSED)
                .orElse(false);
    }

    private boolean isAfterGracePeriod(long millis) {
        OptionalLong term = lastTermination(millis);
        return term.isPresent() && millis >= term.getAsLong() + HostSettings.GRACE_MILLIS;
    }

    /** Returns whether the last signal before an exit was one that ends the process which ran then. */
    private boolean isExpected(Event.HostChanged exit) {
        return changes.subList(0, changes.indexOf(exit)).stream()
                .filter(c -> c.change() == HostChange.SIGTERM
                        || c.change() == HostChange.SIGKILL
                        || c.change() == HostChange.STARTED)
                .reduce((a, b) -> b)
                .map(c -> c.change() != HostChange.STARTED)
                .orElse(false);
    }

    /** Returns the moments at which the process ended without a signal. */
    List<Event.HostChanged> unexpectedExits() {
        return changes.stream()
                .filter(c -> c.change() == HostChange.EXITED && !isExpected(c))
                .toList();
    }
}
