package org.hyssophitch.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.platform.PlatformSettings;
import org.hyssophitch.platform.RehearsalBodies;
import org.hyssophitch.wire.concurrent.Pause;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.FreePorts;
import org.hyssophitch.wire.net.HttpEndpoint;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;
import org.tinylog.Logger;

/**
 * Training run for the class data sharing (CDS) archive: runs two entry hosts briefly against a local store and backend
 * server, one of which relays the store to the other, so that the build can record the loaded classes. A process
 * started with the archive serves sooner after a power loss.
 */
public final class RehearsalMain {

    private static final int REQUESTS = 200;
    private static final int STARTUP_WAIT_MILLIS = 800;
    private static final int READ_TIMEOUT_MILLIS = 2_000;
    private static final int GRACE_PERIOD_MILLIS = 400;
    /** Time in milliseconds for heartbeats and for requests to the relay. */
    private static final int FLEET_MILLIS = 2_500;
    /** Time in milliseconds of a request that takes longer than its target, so that a hedge is considered. */
    private static final int SLOW_MILLIS = 600;

    private static final String SLOW_PATH = "/p/slow";
    private static final String LOOPBACK = "127.0.0.1:";

    private RehearsalMain() {}

    /**
     * Runs the training run and exits the process.
     *
     * @throws IOException if a loopback connection or the temporary settings file fails
     * @throws PlatformSettings.SettingsException if the settings file written for this run is invalid
     */
    public static void main(String[] arguments) throws IOException, PlatformSettings.SettingsException {
        System.setProperty("tinylog.configuration", "tinylog-entry.properties");
        int[] ports = FreePorts.several(13);
        EventLoopGroup group = EventLoops.create(1);
        HttpEndpoint store = endpoint(group, ports[0], q -> done(RehearsalBodies.store(q, ports[1])));
        HttpEndpoint server = endpoint(group, ports[1], q -> serve(q, group));
        Path file = Files.createTempFile("rehearsal", ".json");
        Files.writeString(file, RehearsalBodies.settings(ports, GRACE_PERIOD_MILLIS));
        EntrySettings settings = PlatformSettings.read(file, ports[6]);
        EntrySettings relayedSettings = relayedSettings(settings, ports);
        EntryProgram program = new EntryProgram(settings, () -> {});
        EntryProgram relayed = new EntryProgram(relayedSettings, () -> {});
        new SettingsReloader(file, ports[6], settings, program::onSettings).start();
        program.start();
        relayed.start();
        Pause.millis(STARTUP_WAIT_MILLIS);
        try (RehearsalFleet fleet = new RehearsalFleet(group, ports[12])) {
            fleet.announce(settings, settings);
            Pause.millis(STARTUP_WAIT_MILLIS);
            fleet.announce(relayedSettings, settings);
            sendRequests(ports);
            Pause.millis(FLEET_MILLIS);
        }
        program.stop();
        relayed.stop();
        store.close();
        server.close();
        Files.delete(file);
        EventLoops.close(group);
        Logger.info("training run finished");
        System.exit(0);
    }

    /** Returns the settings of a second entry host, which reads the store through the first. */
    private static EntrySettings relayedSettings(EntrySettings s, int[] ports) {
        return new EntrySettings(
                RehearsalFleet.RELAYED_HOST,
                s.zone(),
                s.region(),
                s.regions(),
                new EntrySettings.Addresses(
                        LOOPBACK + ports[7], LOOPBACK + ports[8], LOOPBACK + ports[9], LOOPBACK + ports[10], ""),
                s.storeAddress(),
                s.bounds());
    }

    private static void sendRequests(int[] ports) throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            sendRequest(ports[2], RehearsalBodies.request(i));
        }
        String request = RehearsalBodies.request(REQUESTS);
        sendRequest(ports[2], withBody(request, "Content-Length: 5", "hello"));
        sendRequest(ports[2], withBody(request, "Transfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n"));
        sendRequest(ports[2], request.replace("/p/" + REQUESTS, "/unknown"));
        sendRequest(ports[2], request.replace("/p/" + REQUESTS, SLOW_PATH));
        sendRequest(ports[3], RehearsalBodies.readiness());
        sendRequest(ports[4], RehearsalBodies.directory());
        sendRequest(ports[6], "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    }

    private static String withBody(String request, String header, String body) {
        return request.replace("GET ", "POST ").replace("\r\n\r\n", "\r\n" + header + "\r\n\r\n" + body);
    }

    private static HttpEndpoint endpoint(
            EventLoopGroup group, int port, Function<HttpQuery, CompletionStage<HttpReply>> handler) {
        return new HttpEndpoint(group, new InetSocketAddress("127.0.0.1", port), handler);
    }

    private static CompletionStage<HttpReply> done(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static CompletionStage<HttpReply> serve(HttpQuery query, EventLoopGroup group) {
        HttpReply reply = HttpReply.text("rehearsed").withHeaders(RehearsalBodies.serverHeaders(query));
        if (!query.path().equals(SLOW_PATH)) {
            return done(reply);
        }
        CompletableFuture<HttpReply> late = new CompletableFuture<>();
        group.schedule(() -> late.complete(reply), SLOW_MILLIS, TimeUnit.MILLISECONDS);
        return late;
    }

    private static void sendRequest(int port, String text) throws IOException {
        try (Socket s = new Socket("127.0.0.1", port)) {
            s.setSoTimeout(READ_TIMEOUT_MILLIS);
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = s.getInputStream();
            in.readAllBytes();
        }
    }
}
