package org.hyssophitch.entry;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Measures the heap of one entry host as it is deployed after several versions of a large configuration. The store, the
 * backend servers and the other entry hosts are stand-ins in this process.
 *
 * <p>Arguments: entry hosts, routes, milliseconds between two versions, numbers of versions after which the heap is
 * measured. Runs in the root of the repository after {@code bin/build-deployment}.
 */
final class ConfigurationHeapMain {

    /** Time in milliseconds in which the host must have taken over the last version. */
    private static final int APPLY_MILLIS = 2_500;

    private static final int SETTLING_MILLIS = 6_000;
    private static final String VERSION_GAUGE = "hyssophitch_configuration_version ";

    private ConfigurationHeapMain() {}

    /** Runs one measurement and prints a line for each number of versions. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        int hosts = Integer.parseInt(arguments[0]);
        int routes = Integer.parseInt(arguments[1]);
        int gapMillis = Integer.parseInt(arguments[2]);
        List<Integer> counts =
                Stream.of(arguments).skip(3).map(Integer::valueOf).toList();
        try (CostFleet fleet = new CostFleet(hosts - 1)) {
            fleet.register(0, "s", 0);
            fleet.configure(1, routes);
            Process child = launch(fleet.writeSettings());
            try {
                while (!fleet.isListening()) {
                    Thread.sleep(2);
                }
                fleet.announceHosts();
                Thread.sleep(SETTLING_MILLIS);
                int version = 1;
                for (int count : counts) {
                    for (; version < count; version++) {
                        fleet.configure(version + 1, routes);
                        Thread.sleep(gapMillis);
                    }
                    Thread.sleep(APPLY_MILLIS);
                    report(child, hosts, routes, gapMillis, version);
                }
            } finally {
                child.destroy();
                child.waitFor();
            }
        }
        System.exit(0);
    }

    private static void report(Process child, int hosts, int routes, int gapMillis, int versions)
            throws IOException, InterruptedException {
        String inForce = versionInForce();
        String memory = new ProcessCost(child.pid()).memory();
        System.out.printf(
                Locale.ROOT,
                "hosts %d, routes %d, gap %d ms, versions %d: in force %s, heap after a full collection %s, %s%n",
                hosts,
                routes,
                gapMillis,
                versions,
                inForce,
                heapAfterCollection(child.pid()),
                memory);
    }

    private static String versionInForce() throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + CostFleet.HOST_IP + ":9464/metrics"))
                .build();
        try (HttpClient client = HttpClient.newHttpClient()) {
            return client.send(request, HttpResponse.BodyHandlers.ofLines())
                    .body()
                    .filter(l -> l.startsWith(VERSION_GAUGE))
                    .map(l -> l.substring(VERSION_GAUGE.length()))
                    .findFirst()
                    .orElse("unknown");
        } catch (IOException e) {
            return "unknown: " + e;
        }
    }

    private static String heapAfterCollection(long pid) throws IOException, InterruptedException {
        jcmd(pid, "GC.run");
        return jcmd(pid, "GC.heap_info")
                .lines()
                .filter(l -> l.contains("total"))
                .map(l -> l.replaceAll("\\[.*", "").replaceAll(" +", " ").strip())
                .toList()
                .toString();
    }

    private static String jcmd(long pid, String command) throws IOException, InterruptedException {
        Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(), Long.toString(pid), command)
                .redirectErrorStream(true)
                .start();
        String output = new String(p.getInputStream().readAllBytes());
        p.waitFor();
        return output;
    }

    private static Process launch(Path settings) throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().put("HYSSOPHITCH_BOOT", settings.toString());
        File log = new File(System.getProperty("cost.log", "/dev/null"));
        return builder.redirectErrorStream(true).redirectOutput(log).start();
    }
}
