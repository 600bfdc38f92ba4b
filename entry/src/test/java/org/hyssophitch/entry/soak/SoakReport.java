package org.hyssophitch.entry.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Text of a soak: its verdict, its plan, the changes of its hosts, and the whole story of each broken rule. */
final class SoakReport {

    /** Stories of one run that are told; more of the same explain nothing. */
    private static final int MAX_STORIES = 40;

    private final SoakResult result;
    private final List<HostProcess> hosts;
    private final List<Event> events;

    SoakReport(SoakResult result, List<HostProcess> hosts, List<Event> events) {
        this.result = result;
        this.hosts = hosts;
        this.events = events;
    }

    List<String> lines() {
        Stream<String> plan = result.plan().disruptions().stream().map(d -> d.millis() + " ms: " + d.disruption());
        Stream<String> changes = Story.only(events, Event.HostChanged.class)
                .map(c -> "%d ms %s %s".formatted(c.millis(), c.host(), c.change()));
        Stream<String> stories = result.violations().stream().limit(MAX_STORIES).flatMap(v -> story(v).stream());
        return Stream.of(
                        Stream.of(result.verdict(), outcomes(), "", "Plan, since the first requests:"),
                        plan,
                        Stream.of("", "Hosts:"),
                        changes,
                        stories)
                .flatMap(s -> s)
                .toList();
    }

    private String outcomes() {
        return Story.of(events).stream()
                .map(s -> s.outcome().map(SoakReport::kind).orElse("none"))
                .collect(Collectors.groupingBy(k -> k, TreeMap::new, Collectors.counting()))
                .toString();
    }

    private static String kind(Event outcome) {
        return switch (outcome) {
            case Event.Answered a -> Integer.toString(a.answer().status());
            case Event.Unanswered u -> u.end().toString();
            default -> "";
        };
    }

    private List<String> story(Violation v) {
        List<String> lines = new ArrayList<>();
        lines.add("");
        lines.add(v.rule() + " at " + v.host() + ": " + v.detail());
        v.story().ifPresent(s -> {
            long zero = zero(s);
            lines.add("  times since " + (zero == 0 ? "the start" : "SIGTERM") + "; "
                    + s.sent().request());
            lines.add("  %6d ms to %d ms sent on %s as number %d"
                    .formatted(
                            s.sent().startMillis() - zero,
                            s.sent().millis() - zero,
                            s.sent().connection(),
                            s.sent().sequence()));
            s.runs()
                    .forEach(r -> lines.add("  %6d ms %s starts; %s"
                            .formatted(
                                    r.started().millis() - zero,
                                    r.started().server(),
                                    r.ended()
                                            .map(e -> (e.millis() - zero) + " ms " + e.end())
                                            .orElse("never ends"))));
            s.outcome().ifPresent(o -> lines.add("  %6d ms %s".formatted(o.millis() - zero, outcome(o))));
            neighbours(s).forEach(lines::add);
            logLines(s).forEach(lines::add);
        });
        return lines;
    }

    private long zero(Story s) {
        long end = s.outcome().map(Event::millis).orElse(s.sent().millis());
        OptionalLong term = HostHistory.of(s.sent().host(), events).lastTermination(end);
        return term.orElse(0);
    }

    private static String outcome(Event event) {
        return switch (event) {
            case Event.Answered a ->
                "answer " + a.answer().startLine() + ' ' + a.answer().headers() + ", "
                        + a.answer().body().length + " bytes";
            case Event.Unanswered u -> u.end() + " without an answer; " + u.detail();
            default -> event.toString();
        };
    }

    /** Returns the requests of the same connection that were pending together with this one. */
    private Stream<String> neighbours(Story s) {
        long zero = zero(s);
        long end = s.outcome().map(Event::millis).orElse(s.sent().millis());
        return Story.of(events).stream()
                .filter(o -> o.sent().connection().equals(s.sent().connection()) && o != s)
                .filter(o -> o.sent().millis() <= end
                        && o.outcome().map(Event::millis).orElse(end)
                                >= s.sent().millis())
                .map(o -> "  beside it: %s number %d sent at %d ms, %d runs, end %s"
                        .formatted(
                                o.requestId(),
                                o.sent().sequence(),
                                o.sent().millis() - zero,
                                o.runs().size(),
                                o.outcome()
                                        .map(e -> (e.millis() - zero) + " ms "
                                                + e.getClass().getSimpleName())
                                        .orElse("none")));
    }

    private Stream<String> logLines(Story s) {
        return hosts.stream()
                .filter(h -> h.name().equals(s.sent().host()))
                .flatMap(h -> h.logLines('"' + s.requestId() + '"').stream())
                .map(l -> "  log: " + l);
    }
}
