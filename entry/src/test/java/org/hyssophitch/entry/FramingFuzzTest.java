package org.hyssophitch.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Sends seeded mutations of requests and responses through the data path: it must not crash, deliver a response to
 * another request, or forward a request smuggled in a body.
 */
public class FramingFuzzTest {

    private static final int CASES_PER_SEED = 300;
    private static final int RESPONSES_PER_SEED = 40;
    private static final int READ_TIMEOUT_MILLIS = 25;
    private static final Pattern ID = Pattern.compile("(?i)Hyssophitch-Request-Id:\\s*([a-z0-9-]+)");
    private static final Pattern RESPONSE_ID = Pattern.compile("own-([a-z0-9-]+)!");

    @DataProvider
    Object[][] seeds() {
        return IntStream.range(0, 5).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void mutatedRequestsAreNeitherReorderedNorSmuggled(int seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        try (ScriptedServer server = new ScriptedServer(FramingFuzzTest::respondWithOwnId);
                DataPath path = new DataPath(DataPath.LIMITS, server)) {
            for (int i = 0; i < CASES_PER_SEED; i++) {
                String text = mutateRequest(pipelinedRequests("c" + seed + "-" + i), random)
                        + closingRequest("c" + seed + "-" + i);
                String responses = pipeline(path, text);
                assertInOrder(ids(RESPONSE_ID, responses), ids(ID, text), text);
            }
            assertTrue(
                    server.requests().stream().noneMatch(r -> r.line().contains("smuggled")),
                    "a request inside a body was forwarded");
            assertTrue(path.exchange(DataPath.get("/s/alive", "alive"), 1).contains("own-alive!"));
        }
    }

    @Test(dataProvider = "seeds")
    public void mutatedResponsesNeverReachAnotherRequest(int seed) throws Exception {
        SplittableRandom random = new SplittableRandom(1_000 + seed);
        ScriptedServer.Script mutating = (r, c) -> {
            String whole = responseTo(r);
            String sent;
            synchronized (random) {
                sent = mutateResponse(whole, random);
            }
            ScriptedServer.write(c, sent);
            return sent.length() >= whole.length();
        };
        try (ScriptedServer a = new ScriptedServer(mutating);
                ScriptedServer b = new ScriptedServer(mutating);
                DataPath path = new DataPath(DataPath.LIMITS, a, b);
                Socket kept = path.connect()) {
            Socket caller = kept;
            for (int i = 0; i < RESPONSES_PER_SEED; i++) {
                String id = "a" + seed + "-" + i;
                String response = DataPath.send(caller, DataPath.get("/s/x", id), 1);
                boolean isOwn = response.startsWith("HTTP/1.1 200") && response.endsWith("own-" + id + "!");
                boolean isFailure = response.startsWith("HTTP/1.1 50") && !response.contains("own-");
                assertTrue(isOwn || isFailure || response.isEmpty(), id + " got " + response);
                if (response.toLowerCase().contains("connection: close") || response.isEmpty()) {
                    caller = path.connect();
                }
            }
        }
    }

    private static boolean respondWithOwnId(ScriptedServer.Request r, Socket c) throws IOException {
        ScriptedServer.write(c, responseTo(r));
        return true;
    }

    private static String responseTo(ScriptedServer.Request r) {
        String body = "own-" + r.id() + "!";
        return ScriptedServer.head(r, 200) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String pipelinedRequests(String id) {
        String inner = "GET /s/smuggled HTTP/1.1\r\nHost: h.example\r\n\r\n";
        return DataPath.get("/s/one", id + "-1") + DataPath.post("/s/two", id + "-2", inner)
                + "POST /s/three HTTP/1.1\r\nHost: h.example\r\nHyssophitch-Request-Id: " + id
                + "-3\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(inner.length()) + "\r\n" + inner
                + "\r\n0\r\n\r\n" + DataPath.get("/s/four", id + "-4");
    }

    /** Returns a final request that closes the connection, so that a case doesn't wait for the read timeout. */
    private static String closingRequest(String id) {
        return DataPath.get("/s/last", id + "-9").replaceFirst("\r\n", "\r\nConnection: close\r\n");
    }

    /** Mutates one head line; framing lines stay, since changing a stated length legitimately moves the body's end. */
    private static String mutateRequest(String text, SplittableRandom random) {
        int mutation = random.nextInt(9);
        String[] lines = text.split("(?<=\r\n)", -1);
        int at = random.nextInt(lines.length);
        boolean isFraming = lines[at].toLowerCase().matches("(?s)(content-length|transfer-encoding).*|[0-9a-f]*\r\n")
                || lines[at].startsWith("GET /s/smuggled")
                || lines[at].startsWith("Host") && at > 0 && lines[at - 1].startsWith("GET /s/smuggled");
        if (isFraming) {
            return text;
        }
        String changed =
                switch (mutation) {
                    case 0 -> "";
                    case 1 -> lines[at] + lines[at];
                    case 2 -> lines[at].replace("\r\n", "\n");
                    case 3 -> " " + lines[at];
                    case 4 -> lines[at].replaceFirst("[:/]", "\0");
                    case 5 -> "X: " + "y".repeat(random.nextInt(5_000)) + "\r\n" + lines[at];
                    case 6 -> "Transfer-Encoding: identity\r\n" + lines[at];
                    case 7 ->
                        lines[at].isEmpty() ? "" : lines[at].substring(0, random.nextInt(lines[at].length())) + "\r\n";
                    default -> flip(lines[at], random);
                };
        boolean isInBody =
                text.indexOf("smuggled") < text.indexOf(lines[at]) && lines[at].startsWith("Host: h.example");
        if (isInBody) {
            return text;
        }
        lines[at] = changed;
        return String.join("", lines);
    }

    private static String flip(String line, SplittableRandom random) {
        if (line.isEmpty()) {
            return line;
        }
        int at = random.nextInt(line.length());
        return line.substring(0, at) + (char) (1 + random.nextInt(250)) + line.substring(at + 1);
    }

    private static String mutateResponse(String whole, SplittableRandom random) {
        return switch (random.nextInt(8)) {
            case 0 -> whole.substring(0, random.nextInt(whole.length()));
            case 1 -> whole + whole;
            case 2 -> whole + "junk".repeat(1 + random.nextInt(3));
            case 3 -> whole.replaceFirst("Request-Id: [^\r]*", "Request-Id: another");
            case 4 -> whole.replaceFirst("HTTP/1.1", "HTTQ/1.1");
            case 5 -> whole.replaceFirst("Content-Length: \\d+", "Content-Length: x");
            default -> whole;
        };
    }

    private static String pipeline(DataPath path, String text) throws IOException {
        try (Socket s = path.connect()) {
            s.setSoTimeout(READ_TIMEOUT_MILLIS);
            return DataPath.send(s, text, 5);
        }
    }

    private static List<String> ids(Pattern pattern, String text) {
        List<String> found = new ArrayList<>();
        Matcher m = pattern.matcher(text);
        while (m.find()) {
            found.add(m.group(1));
        }
        return found;
    }

    /** Asserts that each response belongs to a request of this connection, in the order of the requests. */
    private static void assertInOrder(List<String> responded, List<String> sent, String text) {
        Iterator<String> remaining = sent.iterator();
        for (String id : responded) {
            boolean isFound = false;
            while (!isFound && remaining.hasNext()) {
                isFound = remaining.next().equals(id);
            }
            assertEquals(
                    isFound,
                    true,
                    "response " + id + " is out of order or belongs to no request of this connection: " + text);
        }
    }
}
