package org.hyssophitch.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Whether a response on a connection to a backend server belongs to the request in flight. */
enum ResponseMatch {
    /** It is an answer to the request. */
    ANSWER,
    /** It says that the request was not run, and bears the request's id. */
    REFUSAL,
    /**
     * It says that a request was not run, but not which one. It proves something about the request in flight only if
     * it can't be a late copy of an earlier refusal.
     */
    UNIDENTIFIED_REFUSAL,
    /** It belongs to another request. */
    FOREIGN,
    /** Its head contradicts itself, as when a server stops in a head and begins the response anew. */
    MALFORMED;

    /** Begins a status line. Within one, it shows that the server broke off an earlier response there. */
    private static final String STATUS_LINE_START = "HTTP/1.";

    /** Returns whether the status of a response is that of an earlier one that broke off in its status line. */
    static boolean hasStatusOfAnother(HttpResponse response) {
        return response.status().reasonPhrase().contains(STATUS_LINE_START);
    }

    /** Returns whether a response of a backend server belongs to the request with the given id. */
    static ResponseMatch ofServer(HttpResponse response, String requestId, HeaderConventions conventions) {
        int status = response.status().code();
        HttpHeaders headers = response.headers();
        if (hasStatusOfAnother(response) || !conventions.isWellFormed(headers)) {
            return MALFORMED;
        }
        if (conventions.isUnidentifiedRefusal(status, headers)) {
            return UNIDENTIFIED_REFUSAL;
        }
        if (!conventions.isResponseTo(headers, requestId)) {
            return FOREIGN;
        }
        return conventions.notRunCause(status, headers).isPresent() ? REFUSAL : ANSWER;
    }
}
