package org.hyssophitch.entry;

import java.util.List;
import java.util.stream.Stream;

import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.control.AgentMessage;
import org.hyssophitch.core.statement.LimitNews;

/** Translates what a message of another entry host holds for the call engine. Stateless. */
final class MessageEvents {

    private MessageEvents() {}

    /** Returns the events of a message that arrived at a time in microseconds. */
    static List<CallEvent> of(AgentMessage message, long nowMicros) {
        return Stream.of(limits(message, nowMicros), asks(message, nowMicros), grants(message, nowMicros))
                .flatMap(s -> s)
                .toList();
    }

    private static Stream<CallEvent> limits(AgentMessage message, long nowMicros) {
        List<LimitNews> news =
                message.limits().stream().map(n -> n.toLimitNews(nowMicros)).toList();
        return news.isEmpty() ? Stream.empty() : Stream.of(new CallEvent.LimitNewsReceived(nowMicros, news));
    }

    private static Stream<CallEvent> asks(AgentMessage message, long nowMicros) {
        return message.quotaAsks().isEmpty()
                ? Stream.empty()
                : Stream.of(new CallEvent.QuotaAsked(nowMicros, message.sender().host(), message.quotaAsks()));
    }

    private static Stream<CallEvent> grants(AgentMessage message, long nowMicros) {
        return message.quotaGrants().isEmpty()
                ? Stream.empty()
                : Stream.of(
                        new CallEvent.QuotaGranted(nowMicros, message.sender().host(), message.quotaGrants()));
    }
}
