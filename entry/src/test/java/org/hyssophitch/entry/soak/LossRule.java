package org.hyssophitch.entry.soak;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/**
 * Decides whether a request was lost around a stop of its host: a host has read it whole and passed it on to a server,
 * and the connection ends without a whole answer, or the host answers with an error of its own while a server works.
 */
final class LossRule {

    /** Time in milliseconds before a request from which its host must have run undisturbed. */
    private static final long UNDISTURBED_MILLIS = 3_000;
    /** Time in milliseconds after SIGTERM up to which a slow server excuses a loss. */
    private static final long SLOW_SERVER_EXCUSE_MILLIS = 3_000;
    /** Part of the grace period, at its end, in which a host needn't wait for servers. */
    private static final double LAST_PART = 1.0 / 6;
    /** Time in milliseconds after the grace period up to which a loss is put down to the stop. */
    private static final long AFTER_GRACE_MILLIS = 1_000;
    /** Time in milliseconds in which the clocks of caller and host may disagree about a timeout. */
    private static final long TIMEOUT_SLACK_MILLIS = 50;

    private static final int SERVER_ERROR_START = 500;

    private final Map<String, List<Story>> storiesByConnection;
    private final Map<String, HostHistory> hosts;

    LossRule(List<Story> stories, Map<String, HostHistory> hosts) {
        storiesByConnection =
                stories.stream().collect(Collectors.groupingBy(s -> s.sent().connection()));
        this.hosts = hosts;
    }

    /** Returns how a request was lost around a stop; empty if it wasn't. */
    Optional<String> loss(Story story) {
        Optional<String> failure = failure(story);
        if (failure.isEmpty()) {
            return Optional.empty();
        }
        long endMillis = story.outcome().orElseThrow().millis();
        HostHistory host = hosts.get(story.sent().host());
        OptionalLong term = host.lastTermination(endMillis);
        if (term.isEmpty() || endMillis > term.getAsLong() + HostSettings.GRACE_MILLIS + AFTER_GRACE_MILLIS) {
            return Optional.empty();
        }
        boolean isExcused = isDisturbed(story, endMillis)
                || isServerSlow(story, term.getAsLong())
                || isBehindRequestNotPassedOn(story);
        return isExcused ? Optional.empty() : failure.map(f -> f + timing(story, term.getAsLong(), endMillis));
    }

    /** Returns whether a request that a sound server got is unanswered, with no stop of its host to explain it. */
    boolean isUnansweredOutsideStops(Story story) {
        if (failure(story).isEmpty() || !(story.outcome().orElseThrow() instanceof Event.Unanswered u)) {
            return false;
        }
        OptionalLong term = hosts.get(story.sent().host()).lastTermination(u.millis());
        boolean isStop =
                term.isPresent() && u.millis() <= term.getAsLong() + HostSettings.GRACE_MILLIS + AFTER_GRACE_MILLIS;
        return !isStop && !isDisturbed(story, u.millis()) && !isBehindRequestNotPassedOn(story);
    }

    /** Returns how a request that a sound server got was left without its answer; empty if it wasn't. */
    private static Optional<String> failure(Story story) {
        Optional<String> text =
                switch (story.outcome().orElse(null)) {
                    case Event.Unanswered u
                    when Judge.isEndedByHost(u) && wasPassedOn(story, u.millis()) ->
                        Optional.of("passed on and ended: " + u.end());
                    case Event.Answered a
                    when isOwnError(a.answer()) && isAtWork(story, a.millis()) ->
                        Optional.of("answered " + a.answer().status() + " by the host while a server worked");
                    case null, default -> Optional.empty();
                };
        return text.filter(t -> !isTimedOut(story));
    }

    private static boolean wasPassedOn(Story story, long endMillis) {
        return story.runs().stream().anyMatch(r -> r.isSound() && r.started().millis() <= endMillis);
    }

    private static boolean isOwnError(HttpMessage answer) {
        return answer.status() >= SERVER_ERROR_START
                && answer.header(ServerAnswer.SIGNATURE).isEmpty();
    }

    private static boolean isAtWork(Story story, long millis) {
        return story.runs().stream()
                .anyMatch(r -> r.isSound() && r.started().millis() <= millis && !r.endedBefore(millis));
    }

    /** A timeout excuses the host only if no server had finished by then. */
    private static boolean isTimedOut(Story story) {
        Request request = story.sent().request();
        long waitedMillis =
                story.outcome().orElseThrow().millis() - story.sent().millis() + TIMEOUT_SLACK_MILLIS;
        long timeoutEndMillis = story.sent().millis() + request.timeoutMillis() - TIMEOUT_SLACK_MILLIS;
        boolean isAnswerInTime = story.runs().stream().anyMatch(r -> r.isSound() && r.endedBefore(timeoutEndMillis));
        return waitedMillis >= request.deadlineMillis() || waitedMillis >= request.timeoutMillis() && !isAnswerInTime;
    }

    private boolean isDisturbed(Story story, long endMillis) {
        return hosts.get(story.sent().host()).hasUnplannedChange(story.sent().millis() - UNDISTURBED_MILLIS, endMillis);
    }

    private static boolean isServerSlow(Story story, long termMillis) {
        long lastPartMillis = termMillis + (long) (HostSettings.GRACE_MILLIS * (1 - LAST_PART));
        boolean isSentEarly = story.sent().millis() <= termMillis + SLOW_SERVER_EXCUSE_MILLIS;
        return isSentEarly
                && story.runs().stream().noneMatch(r -> r.isSound() && r.endedBefore(lastPartMillis))
                && story.outcome().orElseThrow().millis() >= lastPartMillis;
    }

    private boolean isBehindRequestNotPassedOn(Story story) {
        return storiesByConnection.get(story.sent().connection()).stream()
                .filter(s -> s.sent().sequence() < story.sent().sequence())
                .anyMatch(s -> s.runs().isEmpty() && !(s.outcome().orElse(null) instanceof Event.Answered));
    }

    private static String timing(Story story, long termMillis, long endMillis) {
        String server = story.runs().stream()
                .filter(r -> r.isSound() && r.endedBefore(endMillis))
                .findFirst()
                .map(r -> "its server finished at " + (r.ended().orElseThrow().millis() - termMillis))
                .orElse("its server was at work");
        return ", sent at %d ms and ended at %d ms after SIGTERM; %s"
                .formatted(story.sent().millis() - termMillis, endMillis - termMillis, server);
    }
}
