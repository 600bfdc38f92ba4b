import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** What the cases share: addresses, the record, the entry hosts as processes, the configuration, a plain client. */
final class Lab implements AutoCloseable {

    final Path root = Path.of("").toAbsolutePath();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path directory;
    final Store store;
    final List<Entry> entries = new ArrayList<>();
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private final int second = ThreadLocalRandom.current().nextInt(1, 250);
    private final int third = ThreadLocalRandom.current().nextInt(1, 250);
    private int lastByte;

    Lab(Path caseFolder) throws IOException {
        directory = Files.createTempDirectory("hyssophitch-review-");
        record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
        store = new Store(newHost());
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Returns a loopback address of this run alone. */
    String newHost() {
        lastByte++;
        return "127." + second + "." + third + "." + lastByte;
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    void note(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, arguments);
        synchronized (record) {
            try {
                record.write(line);
                record.newLine();
                record.flush();
            } catch (IOException e) {
                // The run has ended.
            }
        }
    }

    void say(String format, Object... arguments) {
        note(format, arguments);
        System.out.printf(Locale.ROOT, format + "%n", arguments);
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A port of an address that is free now. */
    static int freePort(String host) throws IOException {
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress(host, 0));
            return s.getLocalPort();
        }
    }

    /** An entry host, started with the command of the deploy file. */
    final class Entry {
        final String name;
        final String host;
        final int front;
        final int ready;
        final int directoryPort;
        final Path settings;
        Process process;

        Entry(String name, String zone, String extraBounds) throws IOException {
            this.name = name;
            this.host = newHost();
            this.front = freePort(host);
            this.ready = freePort(host);
            this.directoryPort = freePort(host);
            int peers = freePort(host);
            String contracts = extraBounds.contains("quota") ? ",\"tenants\",\"quota\"" : "";
            this.settings = directory.resolve(name + ".json");
            Files.writeString(settings, """
                    {"node":"%1$s","role":"entry","machine_class":"front","serves":["front","directory"],
                    "ip_address":"%2$s","zone":"%3$s","region":"r1","zones":{"z1":"r1","z2":"r1"},
                    "listen":{"front":"%2$s:%4$d","ready":"%2$s:%5$d","control":"%2$s:1","directory":"%2$s:%6$d"},
                    "internal_ports":[%7$d,%7$d],"seeds":[],"first_start":true,"counts_as_loss":false,
                    "limits":{"cpu_share":0.6,"cores":1,"memory_mb":430,"file_descriptors":4100,"link_mbps":1000.0,"disk_mb":0},
                    "data_directory":null,"discovery":"platform","entry":"directory","heartbeat_interval_ms":1500,
                    "contracts":["base","drain","config","cost","retry","recover","health"%10$s,"platform"],
                    "fault_tolerance":{"machines":1,"zones":0,"regions":0},
                    "bounds":{"seed_lag_s":3,"reuse_after_s":2,"stability_window_ms":3000,"ack_timeout_ms":4000,
                    "catch_up_s":4,"drain_period_ms":2000,"grace_period_s":6,"loss_slack_ms":200,"config_apply_ms":2000,
                    "regression_slack_ms":250,"outer_bound_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,
                    "budget_slack":56,"recovery_s":15,"ttl_max_s":5,"probes_per_s":60%8$s},
                    "platform":{"address":"%9$s","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,
                    "value_bytes":1048576,"min_ttl_ms":1000}}
                    """.formatted(name, host, zone, front, ready, directoryPort, peers, extraBounds, store.address(), contracts));
            entries.add(this);
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(command());
            command.set(0, root.resolve(command.get(0)).toString());
            ProcessBuilder b = new ProcessBuilder(command).directory(root.toFile());
            Map<String, String> environment = b.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "LANG"));
            environment.put("HYSSOPHITCH_BOOT", settings.toString());
            b.redirectErrorStream(true);
            b.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
            process = b.start();
            note("host %s started, process %d", name, process.pid());
        }

        Path log() {
            return directory.resolve(name + ".log");
        }

        void signal(String signal) throws Exception {
            note("host %s gets SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        }

        boolean isReady() {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(host, ready), 500);
                s.setSoTimeout(1000);
                s.getOutputStream().write(("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n").getBytes());
                Http.Message m = Http.head(new BufferedInputStream(s.getInputStream()));
                return m != null && m.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws IOException {
            for (int i = 0; i < 200; i++) {
                if (isReady()) {
                    note("host %s is ready", name);
                    return;
                }
                pause(100);
            }
            throw new IOException("host " + name + " didn't get ready");
        }

        Socket connect() throws IOException {
            Socket s = new Socket();
            s.connect(new InetSocketAddress(host, front), 1000);
            s.setTcpNoDelay(true);
            return s;
        }
    }

    /** Returns the words of the command by which the deploy file runs an entry host. */
    private List<String> command() throws IOException {
        return Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .map(l -> List.of(l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')).split(" ")))
                .findFirst()
                .orElseThrow();
    }

    /** A rule of one listener. */
    static String rule(String name, String kind, String prefix, String service, int timeoutMillis, int attempts) {
        return "{\"name\":\"" + name + "\",\"kind\":\"" + kind + "\",\"target_latency_ms\":400,\"priority\":1,"
                + "\"match\":{\"path_prefix\":\"" + prefix + "\"},\"action\":{\"service\":\"" + service
                + "\",\"timeout_ms\":" + timeoutMillis + ",\"max_attempts\":" + attempts + "}}";
    }

    static String cluster(String name) {
        return "{\"name\":\"" + name + "\",\"health_check_path\":\"/health\",\"max_connections\":900,"
                + "\"protocol\":\"h1\",\"tls\":false}";
    }

    void configure(int version, List<String> rules, List<String> clusters) {
        configure(version, rules, clusters, "");
    }

    void configure(int version, List<String> rules, List<String> clusters, String more) {
        store.put("config", "main", "{\"version\":\"r" + version + "\",\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"listeners\":[{\"host\":\"a.example\",\"rules\":[" + String.join(",", rules) + "]}],"
                + "\"clusters\":[" + String.join(",", clusters) + "]" + more + "}");
        note("configuration r%d is acknowledged", version);
    }

    static String request(String method, String target, String id, long deadlineMillis, String headers, int length) {
        return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nHyssophitch-Request-Id: " + id
                + "\r\nHyssophitch-Deadline-Milliseconds: " + deadlineMillis + "\r\n" + headers
                + (length > 0 || method.equals("POST") ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    static void send(Socket s, String text) throws IOException {
        OutputStream out = s.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static InputStream input(Socket s) throws IOException {
        return new BufferedInputStream(s.getInputStream(), 65_536);
    }

    /** Ends all processes that this run has started, and removes its folder. */
    @Override
    public synchronized void close() {
        for (Entry e : entries) {
            if (e.process != null && e.process.isAlive()) {
                e.process.destroyForcibly();
                try {
                    e.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException x) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        if (System.getenv("KEEP") == null) {
            File[] files = directory.toFile().listFiles();
            for (File f : files == null ? new File[0] : files) {
                f.delete();
            }
            directory.toFile().delete();
        }
    }
}
