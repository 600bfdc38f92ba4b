package org.hyssophitch.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.netty.channel.EventLoopGroup;
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
 * Training run for the class data sharing (CDS) archive: runs the entry host briefly against a local store and backend
 * server, so that the build can record the loaded classes. A process started with the archive serves sooner after a
 * power loss.
 */
public final class RehearsalMain {

    private static final int REQUESTS = 200;
    private static final int STARTUP_WAIT_MILLIS = 800;
    private static final int READ_TIMEOUT_MILLIS = 2_000;
    private static final int GRACE_PERIOD_MILLIS = 400;

    private RehearsalMain() {}

    /**
     * Runs the training run and exits the process.
     *
     * @throws IOException if a loopback connection or the temporary settings file fails
     * @throws PlatformSettings.SettingsException if the settings file written for this run is invalid
     */
    public static void main(String[] arguments) throws IOException, PlatformSettings.SettingsException {
        System.setProperty("tinylog.configuration", "tinylog-entry.properties");
        int[] ports = FreePorts.several(7);
        EventLoopGroup group = EventLoops.create(1);
        HttpEndpoint store = endpoint(group, ports[0], q -> RehearsalBodies.store(q, ports[1]));
        HttpEndpoint server = endpoint(group, ports[1], RehearsalMain::serve);
        Path settings = Files.createTempFile("rehearsal", ".json");
        Files.writeString(settings, RehearsalBodies.settings(ports, GRACE_PERIOD_MILLIS));
        EntryProgram program = new EntryProgram(PlatformSettings.read(settings, ports[6]));
        program.start();
        Pause.millis(STARTUP_WAIT_MILLIS);
        for (int i = 0; i < REQUESTS; i++) {
            sendRequest(ports[2], RehearsalBodies.request(i));
        }
        sendRequest(ports[3], RehearsalBodies.readiness());
        sendRequest(ports[4], RehearsalBodies.directory());
        sendRequest(ports[6], "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        program.stop();
        store.close();
        server.close();
        Files.delete(settings);
        EventLoops.close(group);
        Logger.info("training run finished");
        System.exit(0);
    }

    private static HttpEndpoint endpoint(EventLoopGroup group, int port, Function<HttpQuery, HttpReply> response) {
        return new HttpEndpoint(
                group,
                new InetSocketAddress("127.0.0.1", port),
                q -> CompletableFuture.completedFuture(response.apply(q)));
    }

    private static HttpReply serve(HttpQuery query) {
        Map<String, String> headers = RehearsalBodies.serverHeaders(query);
        return HttpReply.text("rehearsed").withHeaders(headers);
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
