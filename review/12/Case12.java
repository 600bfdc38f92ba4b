import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** All entry hosts lose power; six of 13 come back. A team asks for half of its quota all the time. */
public final class Case12 {

    private static final int HOSTS = 13;
    private static final int RETURNING = 6;
    private static final int QUOTA_PER_SECOND = 100;
    private static final int CALLERS = 20;
    /** Pause of each caller between two requests; all callers together ask for about half of the quota. */
    private static final long ASK_MILLIS = 400;

    private static final double RECOVERY_SECONDS = 15;
    private static final double JUDGED_SECONDS = 55;

    private record Sent(double at, boolean isServed) {}

    private Case12() {}

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
        for (int i = 1; i <= 6; i++) {
            Backend b = new Backend(lab, "index-" + i, "index", 200);
            b.workMillis = 5;
            b.register();
        }
        String tenant = "{\"name\":\"registry\",\"api_keys\":[\"key-1\"],\"priority\":0,\"requests_per_s\":"
                + QUOTA_PER_SECOND + ",\"burst_size\":" + QUOTA_PER_SECOND + "}";
        lab.configure(
                7,
                List.of(Lab.rule("r", "safe", "/a/", "index", 4_000, 2)),
                List.of(Lab.cluster("index")),
                ",\"tenants\":[" + tenant + "]");
        List<Lab.Entry> hosts = new ArrayList<>();
        for (int i = 1; i <= HOSTS; i++) {
            hosts.add(lab.new Entry(
                    "front-" + i, "z1", ",\"quota_window_s\":5,\"quota_overage\":0.1,\"quota_slack\":20"));
            hosts.getLast().start();
        }
        for (Lab.Entry h : hosts) {
            h.awaitReady();
        }
        Lab.pause(8_000);
        List<Lab.Entry> returning = hosts.subList(HOSTS - RETURNING, HOSTS);
        ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
        AtomicBoolean isEnded = new AtomicBoolean();
        AtomicInteger ids = new AtomicInteger();
        for (int c = 0; c < CALLERS; c++) {
            Random random = new Random(c);
            Thread.ofVirtual().start(() -> {
                while (!isEnded.get()) {
                    Lab.Entry h = returning.get(random.nextInt(returning.size()));
                    sent.add(ask(lab, h, "q" + ids.incrementAndGet()));
                    Lab.pause(ASK_MILLIS);
                }
            });
        }
        Lab.pause(5_000);
        double lostAt = lab.seconds();
        if (lab.trouble) {
            for (Lab.Entry h : hosts) {
                lab.note("host %s loses power", h.name);
                h.process.destroyForcibly();
            }
            Lab.pause(1_000);
            for (Lab.Entry h : returning) {
                h.process.waitFor();
                h.start();
            }
            for (Lab.Entry h : returning) {
                h.awaitReady();
            }
        }
        double backAt = lab.seconds();
        Lab.pause((long) (1_000 * (RECOVERY_SECONDS + JUDGED_SECONDS)));
        isEnded.set(true);
        double before = share(sent, 0, lostAt - 1);
        for (double at = backAt; at < backAt + RECOVERY_SECONDS + JUDGED_SECONDS; at += 5) {
            lab.note("from %.0f s after the return: %.0f%% served", at - backAt, 100 * share(sent, at, at + 5));
        }
        double after = share(sent, backAt + RECOVERY_SECONDS, Double.MAX_VALUE);
        lab.say(
                "the team asked for %.0f of %d requests a second",
                sent.stream().filter(s -> s.at() > backAt).count() / (RECOVERY_SECONDS + JUDGED_SECONDS),
                QUOTA_PER_SECOND);
        lab.say("RECOVER: %.0f%% were served before, %.0f%% later than %.0f s after the machines were back; 25%% are due",
                100 * before, 100 * after, RECOVERY_SECONDS);
        return before < 0.25 ? 2 : after < 0.25 ? 1 : 0;
    }

    private static double share(Iterable<Sent> sent, double from, double to) {
        int all = 0;
        int served = 0;
        for (Sent s : sent) {
            if (s.at() >= from && s.at() < to) {
                all++;
                served += s.isServed() ? 1 : 0;
            }
        }
        return all == 0 ? 0 : (double) served / all;
    }

    private static Sent ask(Lab lab, Lab.Entry h, String id) {
        double at = lab.seconds();
        try (Socket s = h.connect()) {
            s.setSoTimeout(5_000);
            Lab.send(s, Lab.request("GET", "/a/" + id, id, 4_000, "Api-Key: key-1\r\n", 0));
            int status = Http.read(Lab.input(s)).status();
            lab.note("%s by %s: %d", id, h.name, status);
            return new Sent(at, status == 200);
        } catch (Exception e) {
            lab.note("%s by %s: %s", id, h.name, e);
            return new Sent(at, false);
        }
    }
}
