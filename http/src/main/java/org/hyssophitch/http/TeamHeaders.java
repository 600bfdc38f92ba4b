package org.hyssophitch.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import org.hyssophitch.core.team.Caller;

/**
 * Headers of a deployment that carry API keys and team names. Immutable.
 *
 * @param key name of the header in which callers send an API key
 * @param team name of the header that names the team to a backend server
 */
public record TeamHeaders(String key, String team) {

    /** Returns the API keys that a request carries. */
    public List<String> keys(HttpHeaders request) {
        return request.getAll(key);
    }

    /**
     * Replaces the key by the team's name, whatever the caller sent as such. Another entry host gets the key instead,
     * by which it finds the team itself. Changes nothing if the configuration has no teams.
     */
    public void prepare(HttpHeaders headers, OutgoingRequest request) {
        request.caller().ifPresent(c -> replace(headers, request, c));
    }

    private void replace(HttpHeaders headers, OutgoingRequest request, Caller caller) {
        headers.remove(team);
        headers.remove(key);
        if (request.isForward()) {
            // A key that the caller lists in Connection is missing from the copied headers.
            headers.add(key, keys(request.received()));
        } else if (!caller.teamName().isEmpty()) {
            headers.set(team, encode(caller.teamName()));
        }
    }

    /** Returns a value that is sent as the UTF-8 bytes of the text; a character of a header stands for one byte. */
    private static String encode(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }
}
