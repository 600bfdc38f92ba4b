import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A configuration raises the limit on heads; callers with kept connections use it. */
public final class Case14 {

    private static final int CALLERS = 20;
    private static final int OLD_LIMIT = 16_384;
    private static final int NEW_LIMIT = 65_536;
    private static final int HEAD_BYTES = 24_000;
    /** DENIED: more than 5 + one in 500 of all requests. */
    private static final int ALLOWED = 5 + CALLERS / 500;

    private Case14() {}

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
        for (int i = 1; i <= 3; i++) {
            new Backend(lab, "index-" + i, "index", 30).register();
        }
        // Without the disruption the limit is the higher one from the start.
        configure(lab, 7, lab.trouble ? OLD_LIMIT : NEW_LIMIT);
        Lab.Entry host = lab.new Entry("front-1", "z1", "");
        host.start();
        host.awaitReady();
        List<Socket> kept = new ArrayList<>();
        Map<Integer, Integer> statuses = new TreeMap<>();
        for (int i = 0; i < CALLERS; i++) {
            Socket s = host.connect();
            s.setSoTimeout(5_000);
            kept.add(s);
            if (ask(lab, s, "small-" + i, 0) != 200) {
                return 2;
            }
        }
        if (lab.trouble) {
            configure(lab, 9, NEW_LIMIT);
        }
        Lab.pause(4_000); // config_apply_ms is 2 s, stability_window_ms 3 s
        for (int i = 0; i < CALLERS; i++) {
            statuses.merge(ask(lab, kept.get(i), "large-" + i, HEAD_BYTES), 1, Integer::sum);
        }
        int fresh;
        try (Socket s = host.connect()) {
            s.setSoTimeout(5_000);
            fresh = ask(lab, s, "fresh", HEAD_BYTES);
        }
        lab.say("heads of %d bytes on kept connections: %s; on a new connection: %d", HEAD_BYTES, statuses, fresh);
        int refused = CALLERS - statuses.getOrDefault(200, 0);
        lab.say("CONFIG, DENIED: %d requests were handled by the older limit; %d may be denied", refused, ALLOWED);
        return fresh != 200 ? 2 : refused > ALLOWED ? 1 : 0;
    }

    private static void configure(Lab lab, int version, int limit) {
        lab.store.put("config", "main", "{\"version\":\"r" + version + "\",\"limits\":{\"max_header_bytes\":" + limit
                + ",\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"listeners\":[{\"host\":\"a.example\",\"rules\":[" + Lab.rule("r", "safe", "/a/", "index", 4_000, 2)
                + "]}],\"clusters\":[" + Lab.cluster("index") + "]}");
        lab.note("configuration r%d with max_header_bytes %d is acknowledged", version, limit);
    }

    private static int ask(Lab lab, Socket s, String id, int more) throws Exception {
        StringBuilder headers = new StringBuilder();
        while (headers.length() < more) {
            headers.append("X-Trace-").append(headers.length()).append(": ").append("v".repeat(500)).append("\r\n");
        }
        InputStream in = Lab.input(s);
        Lab.send(s, Lab.request("GET", "/a/" + id, id, 4_000, headers.toString(), 0));
        Http.Message m = Http.read(in);
        int status = m == null ? 0 : m.status();
        lab.note("%s is answered %d", id, status);
        return status;
    }
}
