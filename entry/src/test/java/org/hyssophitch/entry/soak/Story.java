package org.hyssophitch.entry.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * All that was observed of one sent request.
 *
 * @param sent the request as it was sent
 * @param runs work of servers on it, in the order of their starts
 * @param outcome {@link Event.Answered} or {@link Event.Unanswered}; empty if the run ended before either
 */
record Story(Event.Sent sent, List<Run> runs, Optional<Event> outcome) {

    /**
     * Work of a server on a request.
     *
     * @param ended empty if the server was still at work when the run ended
     */
    record Run(Event.RunStarted started, Optional<Event.RunEnded> ended) {

        boolean isSound() {
            return ended.map(e -> e.end() == Event.RunEnd.ANSWERED).orElse(true);
        }

        boolean endedBefore(long millis) {
            return ended.map(e -> e.millis() < millis).orElse(false);
        }
    }

    private record Position(String connection, int sequence) {}

    String requestId() {
        return sent.request().id();
    }

    /** Returns the stories of a run, in the order in which the requests were sent. */
    static List<Story> of(List<Event> events) {
        Map<String, List<Run>> runs = runs(events);
        Map<Position, Event> outcomes = new HashMap<>();
        events.forEach(e -> position(e).ifPresent(p -> outcomes.put(p, e)));
        Map<String, List<Event.Sent>> sends = only(events, Event.Sent.class)
                .sorted(Comparator.comparingLong(Event.Sent::startMillis))
                .collect(Collectors.groupingBy(s -> s.request().id(), LinkedHashMap::new, Collectors.toList()));
        return sends.values().stream()
                .flatMap(s -> ofRequest(s, runs.getOrDefault(s.get(0).request().id(), List.of()), outcomes))
                .toList();
    }

    /** A caller may send a request again with the same id; a run belongs to the last send before it. */
    private static Stream<Story> ofRequest(List<Event.Sent> sends, List<Run> runs, Map<Position, Event> outcomes) {
        return IntStream.range(0, sends.size()).mapToObj(i -> {
            Event.Sent sent = sends.get(i);
            long from = i == 0 ? 0 : sent.startMillis();
            long to = i + 1 < sends.size() ? sends.get(i + 1).startMillis() : Long.MAX_VALUE;
            List<Run> own = runs.stream()
                    .filter(r -> r.started().millis() >= from && r.started().millis() < to)
                    .toList();
            return new Story(
                    sent, own, Optional.ofNullable(outcomes.get(new Position(sent.connection(), sent.sequence()))));
        });
    }

    private static Optional<Position> position(Event event) {
        return switch (event) {
            case Event.Answered a -> Optional.of(new Position(a.connection(), a.sequence()));
            case Event.Unanswered u -> Optional.of(new Position(u.connection(), u.sequence()));
            default -> Optional.empty();
        };
    }

    private static Map<String, List<Run>> runs(List<Event> events) {
        Map<Integer, Event.RunEnded> ends = new HashMap<>();
        only(events, Event.RunEnded.class).forEach(e -> ends.put(e.run(), e));
        Map<String, List<Run>> runs = new HashMap<>();
        only(events, Event.RunStarted.class).forEach(s -> runs.computeIfAbsent(s.requestId(), k -> new ArrayList<>())
                .add(new Run(s, Optional.ofNullable(ends.get(s.run())))));
        return runs;
    }

    /** Returns the events of one type. */
    static <E extends Event> Stream<E> only(List<Event> events, Class<E> type) {
        return events.stream().filter(type::isInstance).map(type::cast);
    }
}
