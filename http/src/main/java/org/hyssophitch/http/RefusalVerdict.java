package org.hyssophitch.http;

import java.util.Optional;

import io.netty.handler.codec.http.HttpResponse;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;

/**
 * Whether the head of an answer refuses the request, and whether that is proved. Immutable.
 *
 * @param notRunCause why the request was not run; empty if the answer proves no such thing
 * @param isUnproven whether the status alone would tell the caller that the request was not run
 */
record RefusalVerdict(Optional<NotRunCause> notRunCause, boolean isUnproven) {

    /** Verdict on an answer that refuses nothing. */
    static final RefusalVerdict NO_REFUSAL = new RefusalVerdict(Optional.empty(), false);

    /** Returns the verdict on an answer of a backend server. */
    static RefusalVerdict ofServer(HttpResponse head, HeaderConventions conventions) {
        int status = head.status().code();
        Optional<NotRunCause> cause = conventions.notRunCause(status, head.headers());
        return new RefusalVerdict(cause, cause.isEmpty() && conventions.impliesNotRun(status));
    }

    /** Returns the verdict on an answer of another entry host, whose refusals are taken at their word. */
    static RefusalVerdict ofEntryHost(HttpResponse head, HeaderConventions conventions) {
        return new RefusalVerdict(conventions.forwardNotRunCause(head.status().code()), false);
    }

    /** Returns whether the answer isn't for the caller, as it refuses the request or pretends to. */
    boolean isRefusal() {
        return notRunCause.isPresent() || isUnproven;
    }

    /** Returns whether another server than the named one has answered. */
    boolean isOtherInstance() {
        return notRunCause.equals(Optional.of(NotRunCause.WRONG_INSTANCE));
    }
}
