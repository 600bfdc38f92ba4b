import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Entry hosts of a small deployment, started with the command of the deploy file, each on a loopback address. */
final class Fleet implements AutoCloseable {

    static final int FRONT = 18_381;
    private static final int READY = 18_388;
    private static final int DIRECTORY = 18_383;
    private static final int INTERNAL = 17_200;
    private static final int METRICS = 9_464;

    /** One entry host. */
    final class Host {
        final String name;
        final String ip;
        final String zone;
        Process process;

        Host(int number) {
            name = "front-" + (char) ('a' + number % 3) + '-' + number;
            zone = "zone-" + (char) ('a' + number % 3);
            ip = network + (number + 1);
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings(this));
            ProcessBuilder b = new ProcessBuilder(words);
            b.directory(root.toFile());
            b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            b.environment().put("HYSSOPHITCH_BOOT", settings.toString());
            b.redirectErrorStream(true);
            b.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = b.start();
            record.log("host %s starts at %s", name, ip);
        }

        void awaitReady() throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (!isReady()) {
                if (System.nanoTime() > end || !process.isAlive()) {
                    throw new IllegalStateException(name + " doesn't become ready");
                }
                Thread.sleep(25);
            }
            record.log("host %s is ready", name);
        }

        boolean isReady() {
            try {
                HttpURLConnection c = (HttpURLConnection)
                        URI.create("http://" + ip + ':' + READY + "/v1/readiness").toURL().openConnection();
                c.setConnectTimeout(500);
                c.setReadTimeout(500);
                return c.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Returns what the directory of the host answers to a client of its zone. */
        String directory() {
            try {
                HttpURLConnection c = (HttpURLConnection)
                        URI.create("http://" + ip + ':' + DIRECTORY + "/v1/resolution?name=" + Sender.HOST + "&region=north&zone=zone-x")
                                .toURL().openConnection();
                c.setConnectTimeout(500);
                c.setReadTimeout(500);
                return new String(c.getInputStream().readAllBytes());
            } catch (IOException e) {
                return e.toString();
            }
        }

        InetSocketAddress front() {
            return new InetSocketAddress(ip, FRONT);
        }

        void signal(String signal) throws IOException, InterruptedException {
            record.log("host %s gets SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        List<String> log() throws IOException {
            return Files.readAllLines(folder.resolve(name + ".log"));
        }
    }

    final List<Host> hosts = new ArrayList<>();
    final String network;
    private final Recorder record;
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder = Files.createTempDirectory("review-2-");
    private final List<String> words;
    private final String extraBounds;
    private final String storeAddress;

    /**
     * Prepares hosts without starting them.
     *
     * @param extraBounds further bounds of the settings, each behind a comma
     */
    Fleet(int count, String network, String storeAddress, String extraBounds, Recorder record) throws IOException {
        this.network = network;
        this.storeAddress = storeAddress;
        this.extraBounds = extraBounds;
        this.record = record;
        this.words = words();
        for (int i = 0; i < count; i++) {
            hosts.add(new Host(i));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Returns the first three numbers of loopback addresses on which the ports of the hosts are free. */
    static String freeNetwork(int count) {
        while (true) {
            ThreadLocalRandom r = ThreadLocalRandom.current();
            String network = "127." + r.nextInt(20, 250) + '.' + r.nextInt(1, 250) + '.';
            if (isFree(network, count)) {
                return network;
            }
        }
    }

    private static boolean isFree(String network, int count) {
        for (int i = 1; i <= count; i++) {
            for (int port : new int[] {FRONT, READY, DIRECTORY, INTERNAL, METRICS}) {
                try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(network + i))) {
                    s.getLocalPort();
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    private List<String> words() throws IOException {
        Matcher run = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run command in the deploy file");
        }
        List<String> all = new ArrayList<>(List.of(run.group(1).split(" ")));
        all.set(0, root.resolve(all.get(0)).toString());
        return all;
    }

    private String settings(Host h) {
        return """
            {"node":"%s","role":"entry","machine_class":"front","serves":["front","directory"],"ip_address":"%s",
             "zone":"%s","region":"north","zones":{"zone-a":"north","zone-b":"north","zone-c":"north"},
             "listen":{"front":"%s:%d","ready":"%s:%d","directory":"%s:%d"},"internal_ports":[%d,%d],
             "seeds":[],"first_start":true,"counts_as_loss":false,
             "limits":{"cpu_share":0.6,"cores":1,"memory_mb":430,"file_descriptors":4100,"link_mbps":1000.0,"disk_mb":0},
             "data_directory":null,"discovery":"platform","entry":"directory","heartbeat_interval_ms":1500,
             "contracts":["base","drain","config","cost","retry","recover","health",%s"platform"],
             "fault_tolerance":{"machines":1,"zones":0,"regions":0},
             "bounds":{"seed_lag_s":3,"reuse_after_s":2,"stability_window_ms":3000,"ack_timeout_ms":4000,"catch_up_s":4,
              "drain_period_ms":2000,"grace_period_s":6,"loss_slack_ms":200,"config_apply_ms":2000,
              "regression_slack_ms":250,"outer_bound_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,
              "budget_slack":56,"recovery_s":15,"ttl_max_s":5,"probes_per_s":60%s},
             "platform":{"address":"%s","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,
              "value_bytes":1048576,"min_ttl_ms":1000}}
            """
                .formatted(h.name, h.ip, h.zone, h.ip, FRONT, h.ip, READY, h.ip, DIRECTORY, INTERNAL, INTERNAL + 15,
                        extraBounds.isEmpty() ? "" : "\"pool\",\"places\",\"tenants\",\"quota\",",
                        extraBounds, storeAddress);
    }

    void start() throws IOException, InterruptedException {
        for (Host h : hosts) {
            h.start();
        }
        for (Host h : hosts) {
            h.awaitReady();
        }
    }

    /** Ends the processes and removes their files. */
    @Override
    public void close() {
        for (Host h : hosts) {
            if (h.process != null) {
                h.process.destroyForcibly();
                try {
                    h.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // Removed already.
        }
    }
}
