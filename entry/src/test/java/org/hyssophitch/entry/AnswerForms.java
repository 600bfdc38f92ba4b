package org.hyssophitch.entry;

import java.util.List;
import java.util.stream.Stream;

/** Answers of a backend server, each broken in one part or sound in an unusual way. Stateless. */
final class AnswerForms {

    /** Content of each answer. */
    static final String BODY = "content-of-the-server";

    private static final String ID = "{id}";
    private static final String MARKS =
            "Hyssophitch-Request-Id: " + ID + "\r\nHyssophitch-Response-Signature: s\r\nContent-Type: text/plain\r\n";
    private static final String LENGTH = "Content-Length: " + BODY.length() + "\r\n";
    private static final String CHUNK = Integer.toHexString(BODY.length()) + "\r\n" + BODY + "\r\n";
    private static final String CHUNKS = CHUNK + "0\r\n\r\n";

    /**
     * An answer.
     *
     * @param text head and body with a placeholder for the id of the request
     */
    record Form(String name, String text) {

        /** Returns the answer to a request; to a HEAD request without the body. */
        String to(ScriptedServer.Request request) {
            String whole = text.replace(ID, request.id());
            boolean isToHead = request.line().startsWith("HEAD ");
            return isToHead ? whole.substring(0, whole.indexOf("\r\n\r\n") + 4) : whole;
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private AnswerForms() {}

    /** Returns status lines that break the grammar of RFC 9112, section 4, or state no valid status. */
    static Stream<Form> brokenStatusLines() {
        Stream<String> statuses = Stream.of(
                        "000 OK",
                        "000",
                        "001 OK",
                        "099 OK",
                        "20 OK",
                        "+20 OK",
                        "2000 OK",
                        "600 OK",
                        "999 OK",
                        "0200 OK",
                        "+200 OK",
                        "-200 OK",
                        "20x OK",
                        "abc OK",
                        "2\u00010 OK",
                        "",
                        " 200 OK")
                .map(s -> "HTTP/1.1 " + s);
        Stream<String> versions = Stream.of(
                        "HTTP/2.0", "HTTP/0.9", "http/1.1", "HTTP/1.12", "HTTP/1", "HTTP/1.x", "HTTP/11", "ICY", "1.1")
                .map(v -> v + " 200 OK");
        Stream<String> blanks =
                Stream.of("HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1\u000b200 OK", "HTTP/1.1 200\u000cOK");
        Stream<String> reasons = Stream.of("a\u0001b", "a\u0000b", "a\u007fb", "\u0001", "a\u001b ")
                .map(r -> "HTTP/1.1 200 " + r);
        Stream<String> prefixes =
                Stream.of("\u0001", "\u0000", " ", "\t", "\r\n\r\n", "x").map(p -> p + "HTTP/1.1 200 OK");
        return Stream.of(statuses, versions, blanks, reasons, prefixes)
                .flatMap(s -> s)
                .map(AnswerForms::statusLine);
    }

    /** Returns heads with a field line that breaks the grammar of RFC 9112, section 5. */
    static Stream<Form> brokenFields() {
        return Stream.of(
                        "Bad Name: x",
                        "Bad\tName: x",
                        "Bad : x",
                        "Bad\t: x",
                        "Content-Encoding x: gzip",
                        "Connection x: close",
                        "Content Length: 3",
                        "Keep-Alive x: timeout=1",
                        "Retry-After : 1",
                        "Set Cookie: a=b",
                        "Nothing at all",
                        "Nothing",
                        ": x",
                        "B\u0001d: x",
                        "B\u0000d: x",
                        "B\u007fd: x",
                        "B\u00e9d: x",
                        "B(a)d: x",
                        "B\"a\"d: x",
                        "B/d: x",
                        "X: a\u0001b",
                        "X: a\u0000b",
                        "X: a\rb",
                        "X: a\nb")
                .map(AnswerForms::field);
    }

    /** Returns heads of other statuses whose mark or refusal has a broken name. */
    static Stream<Form> brokenMarks() {
        return Stream.of(
                        "503 X\r\n" + MARKS + "Hyssophitch-Not-Executed : 1",
                        "503 X\r\n" + MARKS + "Hyssophitch-Not-Executed: 1\r\nRetry-After : 1",
                        "503 X\r\nHyssophitch-Request-Id : {id}\r\nHyssophitch-Not-Executed: 1",
                        "421 X\r\n" + MARKS + "Bad Name: x",
                        "000 X\r\n" + MARKS + "Hyssophitch-Not-Executed: 1",
                        "500 X\r\nHyssophitch-Request-Id: {id}\r\nHyssophitch-Response-Signature : s")
                .map(s -> new Form(s, "HTTP/1.1 " + s + "\r\n" + LENGTH + "\r\n" + BODY));
    }

    /** Returns heads that don't say in a valid way how long the body is (RFC 9112, section 6). */
    static Stream<Form> brokenFraming() {
        Stream<Form> lengths = Stream.of(
                        "+21", "-21", "2 1", "0x15", "many", "", "21\u0001", "21, 22", "22\r\nContent-Length: 21")
                .map(l -> framed("Content-Length: " + l, BODY));
        Stream<Form> codings = Stream.of(
                        "xchunked",
                        "chunkedx",
                        "gzip, chunked",
                        "gzip",
                        "chunked, gzip",
                        "chunked, chunked",
                        "chunked\r\nTransfer-Encoding: chunked",
                        "gzip\r\nTransfer-Encoding: chunked",
                        "\"chunked\"",
                        "chunked;q=1",
                        "")
                .map(c -> framed("Transfer-Encoding: " + c, CHUNKS));
        Stream<Form> others = Stream.of(
                framed("Content-Length : " + BODY.length(), BODY),
                framed("Transfer-Encoding : chunked", CHUNKS),
                framed("Transfer-Encoding: chunked\r\nContent-Length: " + BODY.length(), CHUNKS));
        return Stream.of(lengths, codings, others).flatMap(s -> s);
    }

    /** Returns answers in chunks that break off the grammar of RFC 9112, section 7. */
    static Stream<Form> brokenChunks() {
        Stream<Form> trailers = Stream.of(
                        "Bad Name: x", "Bad : x", "Bad\t: x", "Nothing at all", "B\u0001d: x", "X: a\u0001b")
                .map(t -> chunked(CHUNK + "0\r\n" + t + "\r\n\r\n", t));
        Stream<Form> sizes =
                Stream.of("+15", "-15", "0x15", "xx", "").map(s -> chunked(s + "\r\n" + BODY + "\r\n0\r\n\r\n", s));
        return Stream.concat(trailers, sizes);
    }

    /** Returns sound answers. */
    static Stream<Form> sound() {
        Stream<Form> statusLines = Stream.of(
                        "HTTP/1.1 200 OK",
                        "HTTP/1.1 299 Own",
                        "HTTP/1.1 200 ",
                        "HTTP/1.1 200",
                        "HTTP/1.0 200 OK",
                        "HTTP/1.1 200 caf\u00e9",
                        "HTTP/1.1 200 a\tb  c ")
                .map(AnswerForms::statusLine);
        Stream<Form> fields = Stream.of(
                        "X: a b\tc",
                        "X: a  ",
                        "X: a\t",
                        "X:a",
                        "X:",
                        "X: caf\u00e9",
                        "X: a: b",
                        "!#$%&'*+-.^_`|~09azAZ: a",
                        "X: a\r\n b",
                        "Keep-Alive: timeout=5")
                .map(AnswerForms::field);
        Stream<Form> bodies = Stream.of(
                framed("Transfer-Encoding: Chunked", CHUNKS),
                chunked(CHUNK.replaceFirst("\r\n", ";a=b\r\n") + "0;c\r\n\r\n", "chunk extensions"),
                chunked(CHUNK + "0\r\nX-Sum: 1\r\nX-Other:  a b \r\n\r\n", "trailers"));
        return Stream.of(statusLines, fields, bodies).flatMap(s -> s);
    }

    /** Returns sound answers behind an interim one that is broken. */
    static Stream<Form> brokenInterims() {
        return Stream.of("103 Hints\r\nBad Name: x", "103 Hints\r\nBad : x", "103 a\u0001b", "099 Hints", "1030 Hints")
                .map(i -> new Form(
                        i,
                        "HTTP/1.1 " + i + "\r\n\r\n"
                                + statusLine("HTTP/1.1 200 OK").text()));
    }

    /** Returns all answers whose head is broken. */
    static Stream<Form> brokenHeads() {
        return Stream.of(brokenStatusLines(), brokenFields(), brokenMarks(), brokenFraming())
                .flatMap(s -> s);
    }

    /** Returns all broken answers. */
    static List<Form> broken() {
        return Stream.of(brokenHeads(), brokenChunks(), brokenInterims())
                .flatMap(s -> s)
                .toList();
    }

    /** Returns an answer with a status line. */
    static Form statusLine(String line) {
        return new Form(line, line + "\r\n" + MARKS + LENGTH + "\r\n" + BODY);
    }

    /** Returns an answer with a further line in its head. */
    static Form field(String line) {
        return new Form(line, head(line + "\r\n" + LENGTH) + BODY);
    }

    private static String head(String fields) {
        return "HTTP/1.1 200 OK\r\n" + MARKS + fields + "\r\n";
    }

    /** Returns an answer with the lines that state the end of its body. */
    static Form framed(String framing, String body) {
        return new Form(framing, head(framing + "\r\n") + body);
    }

    /** Returns an answer with a body of chunks. */
    static Form chunked(String body, String name) {
        return new Form(name, head("Transfer-Encoding: chunked\r\n") + body);
    }
}
