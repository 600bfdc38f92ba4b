package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.wire.net.FreePorts;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

/** Base class of tests that run entry hosts against a fake store and scripted backend servers. */
abstract class EntryProgramFixture {

    static final String ENTRY_HOSTS_KIND = "hyssophitch-entry-hosts";
    static final int GRACE_MILLIS = 1_500;
    /** Time in milliseconds within which a change must be in force on every entry host. */
    static final long APPLY_DEADLINE_MILLIS = 2_000;

    int storePort;
    FakeStore store;
    ScriptedServer first;
    ScriptedServer second;
    List<EntryProgram> programs;
    EntrySettings settings;
    /** Field of the configuration that lists teams; empty without any. */
    String teams = "";

    /** One thread for each asynchronous call; the common pool has a single thread on a machine with two processors. */
    ExecutorService threads;

    private final Set<Integer> usedPorts = new HashSet<>();

    @BeforeMethod
    public void setUp() throws IOException {
        storePort = FreePorts.one();
        store = new FakeStore(storePort);
        first = new ScriptedServer(ScriptedServer.ok("first"));
        second = new ScriptedServer(ScriptedServer.ok("second"));
        programs = new ArrayList<>();
        teams = "";
        threads = Executors.newCachedThreadPool();
        settings = settings("host-1");
    }

    @AfterMethod
    public void tearDown() throws IOException {
        programs.forEach(EntryProgram::stop);
        store.close();
        first.close();
        second.close();
        threads.shutdownNow();
    }

    EntryProgram start(EntrySettings s) {
        EntryProgram program = new EntryProgram(s, () -> fail("the event loop has ended"));
        programs.add(program);
        program.start();
        return program;
    }

    void configure(int version, String service) {
        configure(version, service, 0);
    }

    /** Writes a configuration with a route for {@code /s/} and the given number of further routes. */
    void configure(int version, String service, int furtherRoutes) {
        String rule =
                """
                {"name":"r%s","kind":"safe","target_latency_ms":600,"priority":1,"match":{"path_prefix":"/%s/"},
                 "action":{"service":"%s","timeout_ms":1500,"max_attempts":2}}
                """;
        String rules = Stream.concat(
                        Stream.of(rule.formatted("", "s", service)),
                        IntStream.rangeClosed(1, furtherRoutes).mapToObj(i -> rule.formatted(i, "more" + i, service)))
                .collect(Collectors.joining(","));
        String cluster = "{\"name\":\"%s\",\"health_check_path\":\"/health\",\"max_connections\":220}";
        store.put(
                "config",
                "main",
                """
                {"version":"r%d","limits":{},%s"clusters":[%s,%s],"listeners":[{"host":"h.example","rules":[
                 %s]}]}
                """
                        .formatted(version, teams, cluster.formatted("svc"), cluster.formatted("other"), rules));
    }

    void register(String id, ScriptedServer server, String service, String state) {
        register(id, server, service, state, 1);
    }

    void register(String id, ScriptedServer server, String service, String state, int sequence) {
        store.put(
                "servers",
                id,
                """
                {"address":"127.0.0.1:%d","born":1,"information":{"service":"%s","zone":"z1","slots":3},
                 "status":{"state":"%s","sequence":%d,"cold_remaining_ms":0}}
                """
                        .formatted(server.port(), service, state, sequence));
    }

    /** Changes servers and configuration, and awaits each change on a host that reaches the store by a link. */
    void awaitChanges(int changes, StoreLink.AnswerWriter writer) throws IOException, InterruptedException {
        configure(1, "svc");
        register("i-1", first, "svc", "ready");
        try (StoreLink link = new StoreLink(storePort, writer)) {
            storePort = link.port();
            EntrySettings behindLink = settings("host-2");
            start(behindLink);
            await(() -> request(behindLink, "/s/x").endsWith("first"));
            for (int i = 1; i <= changes; i++) {
                boolean isFirst = i % 2 == 0;
                store.remove("servers", "i-" + i);
                register("i-" + (i + 1), isFirst ? first : second, "svc", "ready");
                configure(i + 1, "svc");
                await(() -> request(behindLink, "/s/x").endsWith(isFirst ? "first" : "second"));
            }
        }
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        await(condition, 8_000);
    }

    static void await(BooleanSupplier condition, long maxMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "the condition was not met in time");
            Thread.sleep(25);
        }
    }

    static String request(EntrySettings s, String path) {
        return send(s.addresses().front(), DataPath.get(path, "id"));
    }

    static int ready(EntrySettings s) {
        String response =
                send(s.addresses().readiness(), "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        return response.startsWith("HTTP/1.1 200") ? 200 : 503;
    }

    static String directory(EntrySettings s) {
        return send(
                s.addresses().directory(),
                "GET /v1/resolution?name=h.example&region=r&zone=z1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    }

    static String send(String address, String text) {
        int colon = address.indexOf(':');
        try (Socket s = new Socket("127.0.0.1", Integer.parseInt(address.substring(colon + 1)))) {
            s.setSoTimeout(3_000);
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return DataPath.read(s, 1);
        } catch (IOException e) {
            return "no connection: " + e;
        }
    }

    /** Returns an address that no other host of the test was given; free ports aren't reserved until they are bound. */
    private String freeAddress() {
        int port = IntStream.generate(FreePorts::one)
                .filter(usedPorts::add)
                .findFirst()
                .orElseThrow();
        return "127.0.0.1:" + port;
    }

    EntrySettings settings(String host) {
        EntrySettings.Addresses addresses =
                new EntrySettings.Addresses(freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress());
        return new EntrySettings(
                host,
                "z1",
                "r",
                Map.of("z1", "r"),
                addresses,
                "127.0.0.1:" + storePort,
                new EntrySettings.Bounds(GRACE_MILLIS, 0.2, 1_000, 10_000, 10_000, 5));
    }
}
