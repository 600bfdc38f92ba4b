import java.io.BufferedInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** All entry hosts but one are lost for good; the directory of the last one is asked for addresses. */
public final class Case13 {

    private static final int HOSTS = 13;
    /** stability_window_ms + 3 s, in seconds. */
    private static final double EXCUSED_SECONDS = 6;

    private static final double WATCHED_SECONDS = 20;
    /** As some 10 callers that keep an answer for 2 s ask. */
    private static final long ASK_MILLIS = 200;

    private static final int ALLOWED = 3;

    private Case13() {}

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]))) {
            code = run(lab);
        } catch (Exception e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 1; i <= 4; i++) {
            new Backend(lab, "index-" + i, "index", 6).register();
        }
        lab.configure(7, List.of(Lab.rule("r", "safe", "/a/", "index", 4_000, 2)), List.of(Lab.cluster("index")));
        List<Lab.Entry> hosts = new ArrayList<>();
        for (int i = 1; i <= HOSTS; i++) {
            hosts.add(lab.new Entry("front-" + i, "z1", ""));
            hosts.getLast().start();
        }
        for (Lab.Entry h : hosts) {
            h.awaitReady();
        }
        Lab.Entry last = hosts.getLast();
        for (int i = 0; i < 100 && addresses(last).size() < HOSTS; i++) {
            Lab.pause(200);
        }
        int named = addresses(last).size();
        lab.say("before: the directory names %d of %d hosts", named, HOSTS);
        if (named < HOSTS) {
            return 2;
        }
        Lab.pause(5_000);
        List<String> lost = hosts.subList(0, HOSTS - 1).stream().map(h -> h.host + ":" + h.front).toList();
        double lostAt = lab.seconds();
        if (lab.trouble) {
            for (Lab.Entry h : hosts.subList(0, HOSTS - 1)) {
                lab.note("host %s is lost for good", h.name);
                h.process.destroyForcibly();
            }
        }
        int late = 0;
        int answers = 0;
        double lastNamed = 0;
        while (lab.seconds() < lostAt + WATCHED_SECONDS) {
            double askedAt = lab.seconds() - lostAt;
            List<String> found = addresses(last);
            answers += found.isEmpty() ? 0 : 1;
            List<String> dead = lab.trouble ? found.stream().filter(lost::contains).toList() : List.of();
            lab.note("%6.2f s after the loss: %d addresses, %d of lost hosts", askedAt, found.size(), dead.size());
            if (!dead.isEmpty()) {
                lastNamed = askedAt;
            }
            boolean isBesideRunning = found.contains(last.host + ":" + last.front);
            late += askedAt > EXCUSED_SECONDS && !dead.isEmpty() && isBesideRunning ? 1 : 0;
            Lab.pause(ASK_MILLIS);
        }
        lab.say("%d answers; lost hosts were named until %.1f s after their loss", answers, lastNamed);
        lab.say("DRAIN: %d answers named a lost host over %.0f s after its loss; %d are allowed", late, EXCUSED_SECONDS, ALLOWED);
        return answers == 0 ? 2 : late > ALLOWED ? 1 : 0;
    }

    /** Asks the directory of a host; empty without addresses. */
    private static List<String> addresses(Lab.Entry h) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(h.host, h.directoryPort), 1_000);
            s.setSoTimeout(1_000);
            Lab.send(s, "GET /v1/resolution?name=a.example&region=r1&zone=z1 HTTP/1.1\r\nHost: x\r\n\r\n");
            Http.Message m = Http.read(new BufferedInputStream(s.getInputStream()));
            String text = m.text();
            if (m.status() != 200 || !text.contains("[")) {
                return List.of();
            }
            return List.of(text.substring(text.indexOf('[') + 1, text.indexOf(']')).replace("\"", "").split(","));
        } catch (java.io.IOException e) {
            return List.of();
        }
    }
}
