package org.hyssophitch.entry.soak;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.hyssophitch.entry.soak.Event.ConnectionEnd;

/** Finds broken rules in the events of a run. It knows only what callers, servers and operator observed. */
final class Judge {

    /** Unanswered requests of kept connections that a run may have, outside of stops. */
    private static final int MAX_UNANSWERED = 3;

    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final int SUCCESS_START = 200;
    private static final int SUCCESS_END = 300;

    private final List<Event> events;
    private final List<Story> stories;
    private final Map<String, HostHistory> hosts;
    private final LossRule lossRule;

    Judge(List<Event> events) {
        this.events = events;
        stories = Story.of(events);
        hosts = Story.only(events, Event.HostChanged.class)
                .map(Event.HostChanged::host)
                .distinct()
                .collect(Collectors.toMap(h -> h, h -> HostHistory.of(h, events)));
        lossRule = new LossRule(stories, hosts);
    }

    List<Story> stories() {
        return stories;
    }

    /** Returns all broken rules. */
    List<Violation> violations() {
        return Stream.of(lost(), unanswered(), mixed(), strayBytes(), twice(), refused(), exits())
                .flatMap(v -> v)
                .toList();
    }

    private Stream<Violation> lost() {
        return stories.stream().flatMap(s -> lossRule.loss(s).map(d -> violation(Rule.LOST, s, d)).stream());
    }

    private Stream<Violation> unanswered() {
        List<Violation> found = stories.stream()
                .filter(s -> s.sent().sequence() > 0 && lossRule.isUnansweredOutsideStops(s))
                .map(s -> violation(Rule.UNANSWERED, s, "passed on to a sound server, and its connection closed"))
                .toList();
        return found.size() > MAX_UNANSWERED ? found.stream() : Stream.empty();
    }

    private Stream<Violation> mixed() {
        return stories.stream().flatMap(s -> mixture(s).map(d -> violation(Rule.MIXED, s, d)).stream());
    }

    private static Optional<String> mixture(Story story) {
        if (!(story.outcome().orElse(null) instanceof Event.Answered a) || !isSuccess(a.answer())) {
            return Optional.empty();
        }
        String id = story.requestId();
        String signature = a.answer().header(ServerAnswer.SIGNATURE);
        String server = ServerAnswer.server(signature);
        if (!signature.equals(ServerAnswer.signature(server, id))) {
            return Optional.of("success with the signature '" + signature + '\'');
        }
        byte[] expected = ServerAnswer.body(server, id);
        return Arrays.equals(expected, a.answer().body())
                ? Optional.empty()
                : Optional.of(
                        "success with another body: " + a.answer().body().length + " of " + expected.length + " bytes");
    }

    private static boolean isSuccess(HttpMessage answer) {
        return answer.status() >= SUCCESS_START && answer.status() < SUCCESS_END;
    }

    private Stream<Violation> strayBytes() {
        return Story.only(events, Event.StrayBytes.class)
                .map(b -> new Violation(
                        Rule.MIXED,
                        b.host(),
                        b.connection() + " at " + b.millis() + " ms: " + b.detail(),
                        Optional.empty()));
    }

    private Stream<Violation> twice() {
        return stories.stream()
                .filter(s -> !s.sent().request().isIdempotent() && s.runs().size() > 1)
                .map(s -> violation(Rule.TWICE, s, "ran " + s.runs().size() + " times"));
    }

    private Stream<Violation> refused() {
        return stories.stream()
                .filter(s -> !s.sent().request().isIdempotent() && !s.runs().isEmpty())
                .filter(s -> s.outcome().orElse(null) instanceof Event.Answered a
                        && NOT_RUN_STATUSES.contains(a.answer().status()))
                .map(s -> violation(Rule.REFUSED, s, "refused, and ran"));
    }

    private Stream<Violation> exits() {
        return hosts.entrySet().stream().flatMap(h -> h.getValue().unexpectedExits().stream()
                .map(e -> new Violation(
                        Rule.EXIT, h.getKey(), "ended by itself at " + e.millis() + " ms", Optional.empty())));
    }

    private static Violation violation(Rule rule, Story story, String detail) {
        return new Violation(rule, story.sent().host(), detail, Optional.of(story));
    }

    /** Returns whether an event says that a connection ended on the host's side. */
    static boolean isEndedByHost(Event.Unanswered unanswered) {
        return unanswered.end() != ConnectionEnd.LEFT && unanswered.end() != ConnectionEnd.DEADLINE;
    }
}
