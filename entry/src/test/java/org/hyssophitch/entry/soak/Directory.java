package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** A caller's view of the directory: it keeps an answer for as long as callers may. Not thread-safe. */
final class Directory {

    private static final JsonMapper JSON = new JsonMapper();
    private static final long MAX_AGE_MILLIS = 6_000;
    private static final int TIMEOUT_MILLIS = 500;
    private static final int OK = 200;

    private final List<HostSettings> hosts;
    private final Journal journal;
    private final Random random;
    private List<String> addresses = List.of();
    private long expiryMillis;

    Directory(List<HostSettings> hosts, Journal journal, Random random) {
        this.hosts = hosts;
        this.journal = journal;
        this.random = random;
    }

    /** Returns a host that the directory names; null if no host answers the question. */
    HostSettings pick() {
        if (addresses.isEmpty() || journal.millis() >= expiryMillis) {
            refresh();
        }
        List<HostSettings> named =
                hosts.stream().filter(h -> addresses.contains(h.front())).toList();
        return named.isEmpty() ? null : named.get(random.nextInt(named.size()));
    }

    private void refresh() {
        List<HostSettings> asked = new ArrayList<>(hosts);
        while (!asked.isEmpty()) {
            List<String> answer = ask(asked.remove(random.nextInt(asked.size())));
            if (!answer.isEmpty()) {
                addresses = answer;
                expiryMillis = journal.millis() + (long) (MAX_AGE_MILLIS * random.nextDouble());
                return;
            }
        }
    }

    private List<String> ask(HostSettings host) {
        String zone = HostSettings.ZONES.get(random.nextInt(HostSettings.ZONES.size()));
        URI uri = URI.create("http://" + host.directory() + "/v1/resolution?name=" + Request.HOST_NAME
                + "&region=region&zone=" + zone);
        try {
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(TIMEOUT_MILLIS);
            connection.setReadTimeout(TIMEOUT_MILLIS);
            if (connection.getResponseCode() != OK) {
                return List.of();
            }
            JsonNode answer = JSON.readTree(connection.getInputStream());
            return StreamSupport.stream(answer.path("addresses").spliterator(), false)
                    .map(JsonNode::asText)
                    .toList();
        } catch (IOException e) {
            return List.of();
        }
    }
}
