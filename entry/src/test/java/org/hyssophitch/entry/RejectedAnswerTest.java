package org.hyssophitch.entry;

import java.util.List;

import org.hyssophitch.core.call.AnswerFault;
import org.hyssophitch.core.call.AnswerPart;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that each answer of a server that isn't taken as a whole answer is counted by its fault. */
public class RejectedAnswerTest {

    private static final int PAUSE_MILLIS = 30;
    private static final int SMALL_PAUSE_MILLIS = 5;
    private static final int MAX_POLLS = 200;
    private static final int INTERIM_RESPONSES = 20_000;

    @DataProvider
    Object[][] faults() {
        ScriptedServer.Script foreign = (r, c) -> {
            ScriptedServer.write(
                    c, "HTTP/1.1 200 X\r\nHyssophitch-Request-Id: other\r\nContent-Length: 5\r\n\r\nstray");
            return ScriptedServer.ok("own").respond(r, c);
        };
        ScriptedServer.Script unsolicited = (r, c) -> {
            ScriptedServer.ok("own").respond(r, c);
            Thread.sleep(PAUSE_MILLIS);
            return ScriptedServer.ok("own").respond(r, c);
        };
        ScriptedServer.Script cutOffBody = (r, c) -> {
            ScriptedServer.write(c, ScriptedServer.head(r, 200) + "Content-Length: 50\r\n\r\npart");
            return false;
        };
        ScriptedServer.Script cutOffHead = (r, c) -> {
            ScriptedServer.write(c, "HTTP/1.1 200 X\r\nHyssophitch-Request-Id: ");
            return false;
        };
        ScriptedServer.Script reset = (r, c) -> {
            ScriptedServer.write(c, ScriptedServer.head(r, 200) + "Connection: close\r\n\r\npart");
            Thread.sleep(PAUSE_MILLIS);
            c.setSoLinger(true, 0);
            return false;
        };
        ScriptedServer.Script garbage = (r, c) -> {
            ScriptedServer.write(c, "!!garbage!!\r\n\r\n");
            return false;
        };
        ScriptedServer.Script unproven = (r, c) -> {
            ScriptedServer.write(c, ScriptedServer.head(r, 503) + "Content-Length: 0\r\n\r\n");
            return true;
        };
        ScriptedServer.Script interim = (r, c) -> {
            ScriptedServer.write(c, "HTTP/1.1 103 X\r\n\r\n".repeat(INTERIM_RESPONSES));
            return ScriptedServer.ok("own").respond(r, c);
        };
        ScriptedServer.Script otherProtocol = (r, c) -> {
            ScriptedServer.write(c, "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\nbytes");
            return true;
        };
        return new Object[][] {
            {AnswerFault.EXCESSIVE, interim},
            {AnswerFault.MALFORMED, otherProtocol},
            {AnswerFault.FOREIGN, foreign},
            {AnswerFault.UNSOLICITED, unsolicited},
            {AnswerFault.CUT_OFF, cutOffBody},
            {AnswerFault.CUT_OFF, cutOffHead},
            {AnswerFault.RESET, reset},
            {AnswerFault.MALFORMED, garbage},
            {AnswerFault.UNTRUSTED_REFUSAL, unproven},
        };
    }

    /**
     * Without the count, an operator can't tell why answers of a server are dropped. The first request of a JVM takes
     * so long that many interim responses would outlast the timeout of the second one's route.
     */
    @Test(dataProvider = "faults")
    public void countsEachRejectedAnswerByItsFault(AnswerFault fault, ScriptedServer.Script script) throws Exception {
        try (ScriptedServer s = new ScriptedServer(ScriptedServer.ok("first"));
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            path.exchange(DataPath.post("/wait/x", "u0", "body"), 1);
            s.setScript(script);
            path.exchange(DataPath.post("/u/x", "u1", "body"), 1);
            String expected = "hyssophitch_rejected_answers_total{fault=\"" + fault + "\"} 1.0";
            for (int i = 0; i < MAX_POLLS && !path.metrics().contains(expected); i++) {
                Thread.sleep(SMALL_PAUSE_MILLIS);
            }
            assertTrue(path.metrics().contains(expected), path.metrics());
        }
    }

    @DataProvider
    Object[][] brokenParts() {
        return new Object[][] {
            {AnswerPart.VERSION, AnswerForms.statusLine("HTTP/2.0 200 OK")},
            {AnswerPart.STATUS, AnswerForms.statusLine("HTTP/1.1 000 OK")},
            {AnswerPart.REASON, AnswerForms.statusLine("HTTP/1.1 200 \u0001")},
            {AnswerPart.FIELD_NAME, AnswerForms.field("Bad Name: x")},
            {AnswerPart.FIELD, AnswerForms.field("X: a\u0001b")},
            {AnswerPart.FRAMING, AnswerForms.framed("Transfer-Encoding: xchunked", "")},
            {AnswerPart.BODY, AnswerForms.chunked("xx\r\n", "chunk size")},
            {AnswerPart.TRAILER, AnswerForms.chunked("0\r\nBad Name: x\r\n\r\n", "trailer")},
        };
    }

    /** Without the part and the request's id, an operator can't tell what a server does wrong. */
    @Test(dataProvider = "brokenParts")
    public void recordsTheBrokenPart(AnswerPart part, AnswerForms.Form form) throws Exception {
        ScriptedServer.Script script = (r, c) -> {
            ScriptedServer.write(c, form.to(r));
            return true;
        };
        try (ScriptedServer s = new ScriptedServer(script);
                DataPath path = new DataPath(DataPath.LIMITS, s)) {
            path.exchange(DataPath.post("/u/x", "u1", "body"), 1);
            List<DataPath.Rejection> rejections = path.rejections();
            assertEquals(rejections.size(), 1, rejections.toString());
            assertEquals(rejections.getFirst().requestId(), "u1");
            assertEquals(rejections.getFirst().event().fault(), AnswerFault.MALFORMED.name());
            assertEquals(rejections.getFirst().event().part(), part.name());
        }
    }
}
