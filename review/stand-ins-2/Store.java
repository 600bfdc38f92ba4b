import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as PROTOCOL.md describes it: a sound one, on a free port of a loopback address. */
final class Store implements AutoCloseable {

    private record Event(long revision, String kind, Map<String, Object> object, boolean isDeleted) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final ServerSocket listener = new ServerSocket();
    private long revision = 100;

    Store(String ip) throws IOException {
        listener.bind(new InetSocketAddress(ip, 0), 256);
        Thread.startVirtualThread(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ':' + listener.getLocalPort();
    }

    /** Writes an object as the operator or a backend does; returns its revision when it is acknowledged. */
    synchronized long put(String kind, String name, Object specification) {
        return write(kind, name, specification);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> known = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (known != null) {
            revision++;
            publish(new Event(revision, kind, known, true));
        }
    }

    private long write(String kind, String name, Object specification) {
        Map<String, Object> known = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
        if (known != null && known.get("specification").equals(specification)) {
            return revision;
        }
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("created", known == null ? revision : Json.object(known.get("metadata")).get("created"));
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("specification", specification);
        object.put("status", null);
        kinds.get(kind).put(name, object);
        publish(new Event(revision, kind, object, false));
        return revision;
    }

    private void publish(Event e) {
        history.add(e);
        notifyAll();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket s = listener.accept();
                Thread.startVirtualThread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http q = Http.readHead(in); q != null; q = Http.readHead(in)) {
                q.readBody(in, false);
                String[] answer = handle(q);
                byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                                + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed its connection.
        }
    }

    private synchronized String[] handle(Http q) throws InterruptedException {
        String[] parts = q.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        for (String p : parts.length > 1 ? parts[1].split("&") : new String[0]) {
            String[] pair = p.split("=", 2);
            query.put(pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
        }
        String[] path = parts[0].substring("/v1/objects/".length()).split("/");
        String kind = path[0];
        TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
        switch (q.method()) {
            case "GET" -> {
                if (query.containsKey("watch")) {
                    return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
                }
                if (!name.isEmpty()) {
                    return objects.containsKey(name) ? new String[] {"200", Json.write(objects.get(name))} : new String[] {"404", "{}"};
                }
                Map<String, Object> page = new LinkedHashMap<>();
                page.put("items", new ArrayList<>(objects.tailMap(query.getOrDefault("after", ""), false).values()));
                page.put("has_more", false);
                page.put("store_revision", revision);
                return new String[] {"200", Json.write(page)};
            }
            case "POST" -> {
                Map<String, Object> body = Json.object(Json.parse(new String(q.body, StandardCharsets.UTF_8)));
                String created = (String) Json.object(body.get("metadata")).get("name");
                if (objects.containsKey(created)) {
                    return new String[] {"409", Json.write(objects.get(created))};
                }
                write(kind, created, body.get("specification"));
                return new String[] {"201", Json.write(objects.get(created))};
            }
            case "PUT" -> {
                Map<String, Object> body = Json.object(Json.parse(new String(q.body, StandardCharsets.UTF_8)));
                Map<String, Object> known = objects.get(name);
                if (known == null) {
                    return new String[] {"404", "{}"};
                }
                Object expected = Json.object(body.get("metadata")).get("revision");
                if (expected != null && !expected.equals(Json.object(known.get("metadata")).get("revision"))) {
                    return new String[] {"409", Json.write(known)};
                }
                write(kind, name, body.get("specification"));
                return new String[] {"200", Json.write(objects.get(name))};
            }
            case "DELETE" -> {
                Map<String, Object> known = objects.get(name);
                if (known == null) {
                    return new String[] {"404", "{}"};
                }
                String expected = query.get("revision");
                if (expected != null && !expected.equals(String.valueOf(Json.object(known.get("metadata")).get("revision")))) {
                    return new String[] {"409", Json.write(known)};
                }
                remove(kind, name);
                return new String[] {"200", "{}"};
            }
            default -> {
                return new String[] {"405", "{}"};
            }
        }
    }

    private String[] watch(String kind, long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event e : history) {
                if (e.revision > since && e.kind.equals(kind)) {
                    Map<String, Object> event = new LinkedHashMap<>();
                    event.put("object", e.object);
                    event.put("deleted", e.isDeleted);
                    events.add(event);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                Map<String, Object> answer = new LinkedHashMap<>();
                answer.put("events", events);
                answer.put("store_revision", revision);
                return new String[] {"200", Json.write(answer)};
            }
            wait(left);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
