import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, with revisions, conditions and watches. It is never disturbed. */
final class Store {

    private record Event(long revision, String kind, Map<String, Object> object, boolean isDeleted) {}

    private final ServerSocket socket;
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 500;

    Store(InetAddress ip) throws IOException {
        socket = new ServerSocket(0, 256, ip);
        Thread.startVirtualThread(this::accept);
    }

    String address() {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    /** Writes an object as the operator or a backend server does. */
    synchronized void put(String kind, String name, Object specification) {
        revision++;
        Map<String, Object> old = kind(kind).get(name);
        Object created = old == null ? revision : ((Map<?, ?>) old.get("metadata")).get("created");
        Map<String, Object> object = Json.object(
                "metadata",
                Json.object(
                        "name", name, "revision", revision, "created", created, "finalizers", List.of(), "deleting",
                        false),
                "specification",
                specification,
                "status",
                null);
        kind(kind).put(name, object);
        addEvent(kind, object, false);
    }

    /** Removes an object. */
    synchronized void remove(String kind, String name) {
        Map<String, Object> old = kind(kind).remove(name);
        if (old != null) {
            revision++;
            addEvent(kind, old, true);
        }
    }

    private void addEvent(String kind, Map<String, Object> object, boolean isDeleted) {
        events.add(new Event(revision, kind, object, isDeleted));
        notifyAll();
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket s = socket.accept();
                Thread.startVirtualThread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readRequestBody(in, head);
                out.write(answer(head, new String(body, StandardCharsets.UTF_8)));
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The caller has left.
        }
    }

    private byte[] answer(Http.Head head, String body) throws InterruptedException {
        String[] parts = head.target().split("\\?", 2);
        String[] path = parts[0].split("/");
        Map<String, String> query = query(parts.length > 1 ? parts[1] : "");
        String kind = path[3];
        String name = path.length > 4 ? decode(path[4]) : "";
        return switch (head.method()) {
            case "GET" -> name.isEmpty() ? read(kind, query) : get(kind, name);
            case "POST" -> create(kind, body);
            case "PUT" -> replace(kind, name, body);
            case "DELETE" -> delete(kind, name, query);
            default -> reply(400, null);
        };
    }

    private byte[] read(String kind, Map<String, String> query) throws InterruptedException {
        return query.containsKey("watch")
                ? watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")))
                : list(kind, query.getOrDefault("after", ""));
    }

    private synchronized byte[] list(String kind, String after) {
        List<Object> items = new ArrayList<>(kind(kind).tailMap(after, false).values());
        return reply(200, Json.object("items", items, "has_more", false, "store_revision", revision));
    }

    private synchronized byte[] watch(String kind, long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + Math.min(waitMillis, 30_000) * 1_000_000;
        while (true) {
            List<Object> found = new ArrayList<>();
            events.stream()
                    .filter(e -> e.revision() > since && e.kind().equals(kind))
                    .forEach(e -> found.add(Json.object("object", e.object(), "deleted", e.isDeleted())));
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMillis <= 0) {
                return reply(200, Json.object("events", found, "store_revision", revision));
            }
            wait(leftMillis);
        }
    }

    private synchronized byte[] get(String kind, String name) {
        Map<String, Object> object = kind(kind).get(name);
        return object == null ? reply(404, null) : reply(200, object);
    }

    private synchronized byte[] create(String kind, String body) {
        Map<?, ?> sent = (Map<?, ?>) Json.parse(body);
        String name = (String) ((Map<?, ?>) sent.get("metadata")).get("name");
        Map<String, Object> old = kind(kind).get(name);
        if (old != null) {
            return reply(409, old);
        }
        put(kind, name, sent.get("specification"));
        return reply(201, kind(kind).get(name));
    }

    private synchronized byte[] replace(String kind, String name, String body) {
        Map<?, ?> sent = (Map<?, ?>) Json.parse(body);
        Map<String, Object> old = kind(kind).get(name);
        if (old == null) {
            return reply(404, null);
        }
        Object condition = ((Map<?, ?>) sent.get("metadata")).get("revision");
        if (condition != null && !condition.equals(((Map<?, ?>) old.get("metadata")).get("revision"))) {
            return reply(409, old);
        }
        put(kind, name, sent.get("specification"));
        return reply(200, kind(kind).get(name));
    }

    private synchronized byte[] delete(String kind, String name, Map<String, String> query) {
        Map<String, Object> old = kind(kind).get(name);
        if (old == null) {
            return reply(404, null);
        }
        String condition = query.get("revision");
        if (condition != null && Long.parseLong(condition) != (Long) ((Map<?, ?>) old.get("metadata")).get("revision")) {
            return reply(409, old);
        }
        remove(kind, name);
        return reply(200, old);
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            String[] words = pair.split("=", 2);
            if (words.length == 2) {
                query.put(words[0], decode(words[1]));
            }
        }
        return query;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private static byte[] reply(int status, Object body) {
        byte[] json = body == null ? new byte[0] : Json.write(body).getBytes(StandardCharsets.UTF_8);
        byte[] head = Http.bytes("HTTP/1.1 " + status + " -\r\nContent-Type: application/json\r\nContent-Length: "
                + json.length + "\r\n\r\n");
        byte[] all = new byte[head.length + json.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(json, 0, all, head.length, json.length);
        return all;
    }
}
