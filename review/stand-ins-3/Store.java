import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's metadata store. Objects are kept as texts; only "metadata" is taken apart. Watches,
 * conditions by revision and the status codes follow the page of the protocol.
 */
final class Store implements AutoCloseable {

    private record Entry(long revision, String specification) {}

    private record Event(long revision, String kind, String object, boolean deleted) {}

    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern REVISION = Pattern.compile("\"revision\"\\s*:\\s*(\\d+)");

    final Http.Server server;
    private final Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1;
    private long era = 1;
    private long compacted;
    /** Whether a call from an address is left without an answer. */
    volatile Predicate<String> silentFor = a -> false;

    Store(String host) throws IOException {
        server = new Http.Server(host, 0, this::serve);
    }

    String address() {
        return server.socket.getInetAddress().getHostAddress() + ":" + server.port();
    }

    synchronized long put(String kind, String name, String specification) {
        revision++;
        kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, new Entry(revision, specification));
        history.add(new Event(revision, kind, object(name, revision, specification), false));
        notifyAll();
        return revision;
    }

    /** Changes a specification without an event, as a change of the sequence alone makes none. */
    synchronized void replaceQuietly(String kind, String name, String specification) {
        Entry e = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        if (e != null) {
            kinds.get(kind).put(name, new Entry(e.revision(), specification));
        }
    }

    synchronized void remove(String kind, String name) {
        Entry e = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (e != null) {
            revision++;
            history.add(new Event(revision, kind, object(name, revision, e.specification()), true));
            notifyAll();
        }
    }

    synchronized int count(String kind) {
        return kinds.getOrDefault(kind, new TreeMap<>()).size();
    }

    private static String object(String name, long revision, String specification) {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + ",\"finalizers\":[],\"deleting\":false},\"specification\":" + specification + ",\"status\":{}}";
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        String peer = socket.getInetAddress().getHostAddress();
        for (Http.Message m = Http.read(in); m != null; m = Http.read(in)) {
            boolean silentBefore = silentFor.test(peer);
            String[] answer = answer(m);
            if (silentBefore || silentFor.test(peer)) {
                // A connection on which an answer is lost returns nothing further.
                Thread.sleep(600_000);
            }
            Http.write(
                    out,
                    Integer.parseInt(answer[0]),
                    "Content-Type: application/json\r\nStore-Era: " + era + "\r\n",
                    answer[1].getBytes(StandardCharsets.UTF_8));
        }
    }

    private synchronized String[] answer(Http.Message m) throws InterruptedException {
        String[] target = m.target().split("\\?", 2);
        String[] path = target[0].split("/");
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        String kind = path[3];
        String name = path.length > 4 ? URLDecoder.decode(path[4], StandardCharsets.UTF_8) : "";
        TreeMap<String, Entry> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        long condition = condition(m, query);
        switch (m.method()) {
            case "GET" -> {
                return query.containsKey("watch") ? watch(kind, query) : name.isEmpty() ? list(objects, query) : one(objects, name);
            }
            case "POST" -> {
                String created = match(NAME, m.text());
                if (objects.containsKey(created)) {
                    return conflict(objects, created);
                }
                put(kind, created, specification(m.text()));
                return one(objects, created);
            }
            case "PUT" -> {
                if (!objects.containsKey(name)) {
                    return new String[] {"404", "{}"};
                }
                if (condition > 0 && condition != objects.get(name).revision()) {
                    return conflict(objects, name);
                }
                if (!objects.get(name).specification().equals(specification(m.text()))) {
                    put(kind, name, specification(m.text()));
                }
                return one(objects, name);
            }
            case "DELETE" -> {
                if (!objects.containsKey(name)) {
                    return new String[] {"404", "{}"};
                }
                if (condition > 0 && condition != objects.get(name).revision()) {
                    return conflict(objects, name);
                }
                remove(kind, name);
                return new String[] {"200", "{}"};
            }
            default -> {
                return new String[] {"405", "{}"};
            }
        }
    }

    private static long condition(Http.Message m, Map<String, String> query) {
        String revision = query.getOrDefault("revision", match(REVISION, m.text()));
        return revision.isEmpty() ? 0 : Long.parseLong(revision);
    }

    private String[] one(TreeMap<String, Entry> objects, String name) {
        Entry e = objects.get(name);
        return e == null
                ? new String[] {"404", "{}"}
                : new String[] {"200", object(name, e.revision(), e.specification())};
    }

    private String[] conflict(TreeMap<String, Entry> objects, String name) {
        return new String[] {"409", one(objects, name)[1]};
    }

    private String[] list(TreeMap<String, Entry> objects, Map<String, String> query) {
        List<String> items = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Entry> e : objects.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (items.size() == 500) {
                more = true;
                break;
            }
            items.add(object(e.getKey(), e.getValue().revision(), e.getValue().specification()));
        }
        return new String[] {
            "200",
            "{\"items\":[" + String.join(",", items) + "],\"has_more\":" + more + ",\"store_revision\":" + revision + "}"
        };
    }

    private String[] watch(String kind, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        long watchedEra = era;
        if (since < compacted || since > revision) {
            return new String[] {"410", "{}"};
        }
        while (true) {
            if (era != watchedEra) {
                return new String[] {"410", "{}"};
            }
            List<String> events = history.stream()
                    .filter(e -> e.kind().equals(kind) && e.revision() > since)
                    .map(e -> "{\"object\":" + e.object() + ",\"deleted\":" + e.deleted() + "}")
                    .toList();
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new String[] {
                    "200", "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}"
                };
            }
            wait(left);
        }
    }

    /** Returns the value of the member "specification" of a body that the project's programs send. */
    private static String specification(String body) {
        int from = body.indexOf("\"specification\"");
        int open = body.indexOf('{', from);
        int depth = 0;
        for (int i = open; i < body.length(); i++) {
            depth += body.charAt(i) == '{' ? 1 : body.charAt(i) == '}' ? -1 : 0;
            if (depth == 0) {
                return body.substring(open, i + 1);
            }
        }
        return "{}";
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String p : text.split("&")) {
            String[] kv = p.split("=", 2);
            if (kv.length == 2) {
                query.put(kv[0], URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static String match(Pattern p, String text) {
        Matcher m = p.matcher(text);
        return m.find() ? m.group(1) : "";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
