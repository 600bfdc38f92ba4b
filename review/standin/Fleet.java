import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The entry hosts: separate processes, each on a loopback address of its own, started as the deploy file says. */
final class Fleet implements AutoCloseable {

    /** One entry host. */
    record Host(String name, String zone, String front, String ready, Path settings) {}

    private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);
    private static final int METRICS_PORT = 9_464;
    private static final long START_TIMEOUT_MILLIS = 30_000;

    private final Path directory = Files.createTempDirectory("review");
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final List<Host> hosts = new ArrayList<>();
    private final int network = 1 + (int) (ProcessHandle.current().pid() % 250);
    private final Record record;
    private final Map<String, Object> bounds;

    Fleet(Record record, Map<String, Object> bounds) throws IOException {
        this.record = record;
        this.bounds = bounds;
    }

    /** Returns a loopback address for the store or a backend server. */
    InetAddress address(int number) throws IOException {
        return InetAddress.getByName("127." + network + ".200." + number);
    }

    List<Host> hosts() {
        return hosts;
    }

    Process process(Host host) {
        return processes.get(host.name());
    }

    /** Starts one host for each zone named, and waits until all are ready. */
    void start(Store store, String... zones) throws IOException, InterruptedException {
        for (int i = 0; i < zones.length; i++) {
            hosts.add(settings("front-" + zones[i] + "-" + (i + 1), zones[i], i + 1, store.address()));
        }
        for (Host h : hosts) {
            launch(h);
        }
        for (Host h : hosts) {
            awaitReady(h);
        }
    }

    /** Starts the process of a host. */
    void launch(Host host) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = RUN.matcher(text);
        if (!run.find()) {
            throw new IOException("no run command in deploy/system.toml");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        Map<String, String> env = builder.environment();
        env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        env.put("HYSSOPHITCH_BOOT", host.settings().toString());
        File log = directory.resolve(host.name() + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(host.name(), builder.start());
        record.line("started " + host.name());
    }

    void awaitReady(Host host) throws IOException, InterruptedException {
        long end = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady(host)) {
                record.line(host.name() + " is ready");
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException(host.name() + " doesn't become ready");
    }

    boolean isReady(Host host) {
        try {
            HttpURLConnection c = (HttpURLConnection)
                    URI.create("http://" + host.ready() + "/v1/readiness").toURL().openConnection();
            c.setConnectTimeout(500);
            c.setReadTimeout(500);
            return c.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private Host settings(String name, String zone, int number, String store) throws IOException {
        String ip = "127." + network + "." + number + ".1";
        InetAddress address = InetAddress.getByName(ip);
        String front = ip + ":" + freePort(address);
        String ready = ip + ":" + freePort(address);
        String directoryAddress = ip + ":" + freePort(address);
        int peers = freePort(address);
        Map<String, Object> zones = Json.object("zone-a", "region", "zone-b", "region", "zone-c", "region");
        Map<String, Object> settings = Json.object(
                "node", name,
                "role", "entry",
                "machine_class", "front",
                "serves", List.of("front", "directory"),
                "ip_address", ip,
                "zone", zone,
                "region", "region",
                "zones", zones,
                "listen", Json.object("front", front, "ready", ready, "directory", directoryAddress),
                "internal_ports", List.of(peers, peers + 15),
                "seeds", List.of(),
                "first_start", true,
                "counts_as_loss", false,
                "limits",
                        Json.object(
                                "cpu_share", 0.6, "cores", 1, "memory_mb", 430, "file_descriptors", 4100, "link_mbps",
                                1000.0, "disk_mb", 0),
                "data_directory", null,
                "discovery", "platform",
                "entry", "directory",
                "heartbeat_interval_ms", 1500,
                "bounds", bounds,
                "platform",
                        Json.object(
                                "address", store, "form", "objects", "writes_per_s", 400, "reads_per_s", 2000,
                                "history_s", 20, "value_bytes", 1048576, "min_ttl_ms", 1000));
        Path file = directory.resolve(name + ".json");
        Files.writeString(file, Json.write(settings));
        return new Host(name, zone, front, ready, file);
    }

    private static int freePort(InetAddress address) throws IOException {
        while (true) {
            try (ServerSocket s = new ServerSocket(0, 1, address)) {
                if (s.getLocalPort() != METRICS_PORT) {
                    return s.getLocalPort();
                }
            }
        }
    }

    /** Ends all processes that this fleet started, and removes its files. */
    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(p -> {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        if (System.getenv("KEEP_LOGS") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            record.line("temporary files remain: " + e);
        }
    }
}
