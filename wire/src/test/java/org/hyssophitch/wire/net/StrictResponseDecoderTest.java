package org.hyssophitch.wire.net;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.hyssophitch.core.call.AnswerPart;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that the decoder takes the grammar of RFC 9112, and nothing besides. */
public class StrictResponseDecoderTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text\r\nX-Own:  a b \t\r\n";
    private static final String LENGTH = "Content-Length: 6\r\n\r\nserver";
    private static final String CHUNKS = "Transfer-Encoding: chunked\r\n\r\n6\r\nserver\r\n0\r\n";
    private static final String TRAILERS = "X-Sum: 1\r\nX-Other:  a b \t\r\n\r\n";
    private static final int BYTES = 256;

    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
    private static final String FIELDS =
            "([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:" + TEXT + "\\r\\n([ \\t]" + TEXT + "\\r\\n)*)*";
    private static final Pattern VALID_HEAD =
            Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9]{2}( " + TEXT + ")?\\r\\n" + FIELDS + "\\r\\n");
    private static final Pattern VALID_TRAILERS = Pattern.compile(FIELDS + "\\r\\n");

    /** What the decoder made of one response. */
    private record Decoded(boolean hasHead, long wholeResponses, Optional<AnswerPart> brokenPart) {

        private boolean isWhole() {
            return wholeResponses > 0 && brokenPart.isEmpty();
        }
    }

    private static Decoded decode(String text, int pieceBytes) {
        EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder(new HttpDecoderConfig()));
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int at = 0; at < bytes.length; at += pieceBytes) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, Math.min(pieceBytes, bytes.length - at)));
        }
        List<HttpObject> parts = new ArrayList<>();
        for (HttpObject p = channel.readInbound(); p != null; p = channel.readInbound()) {
            parts.add(p);
            ReferenceCountUtil.release(p);
        }
        channel.finishAndReleaseAll();
        Optional<AnswerPart> broken = parts.stream()
                .filter(p -> p.decoderResult().isFailure())
                .map(p -> ((MalformedResponseException) p.decoderResult().cause()).part())
                .findFirst();
        boolean hasHead = !parts.isEmpty() && parts.getFirst().decoderResult().isSuccess();
        long whole = parts.stream().filter(LastHttpContent.class::isInstance).count();
        return new Decoded(hasHead, whole, broken);
    }

    /** Returns a text with each byte at each position of a range: in place of the one there, and before it. */
    private static Stream<String> mutations(String text, int from, int to) {
        return IntStream.range(from, to)
                .boxed()
                .flatMap(at -> IntStream.range(0, BYTES).boxed().flatMap(b -> Stream.of(1, 0)
                        .map(skipped -> text.substring(0, at) + (char) b.intValue() + text.substring(at + skipped))));
    }

    @DataProvider
    Object[][] pieces() {
        return new Object[][] {{Integer.MAX_VALUE}, {1}, {7}};
    }

    @Test(dataProvider = "pieces")
    public void takesNoHeadThatBreaksTheGrammar(int pieceBytes) {
        String text = HEAD + LENGTH;
        List<String> wronglyTaken = mutations(text, 0, text.indexOf("\r\n\r\n"))
                .filter(t -> decode(t, pieceBytes).hasHead())
                .filter(t -> !VALID_HEAD.matcher(t).lookingAt())
                .toList();
        assertEquals(wronglyTaken, List.of());
    }

    @Test(dataProvider = "pieces")
    public void takesNoTrailersThatBreakTheGrammar(int pieceBytes) {
        String before = HEAD + CHUNKS;
        List<String> wronglyTaken = mutations(TRAILERS, 0, TRAILERS.length() - 2)
                .filter(t -> decode(before + t, pieceBytes).isWhole())
                .filter(t -> !VALID_TRAILERS.matcher(t).lookingAt())
                .toList();
        assertEquals(wronglyTaken, List.of());
    }

    /** Bytes that the grammar allows in a reason phrase or in the value of a field are taken. */
    @Test(dataProvider = "pieces")
    public void takesAllBytesOfTexts(int pieceBytes) {
        IntStream.range(0, BYTES)
                .filter(b -> b == '\t' || b >= ' ' && b != 0x7f)
                .mapToObj(b -> Character.toString(b))
                .flatMap(b -> Stream.of(
                        "HTTP/1.1 200 a" + b + "c\r\n" + LENGTH, "HTTP/1.1 200 OK\r\nX: a" + b + "c\r\n" + LENGTH))
                .forEach(t -> assertTrue(decode(t, pieceBytes).isWhole(), t));
    }

    @Test
    public void takesEachValidStatusAndNoOther() {
        IntStream.range(0, 1_000).forEach(s -> {
            boolean isValid = s >= 100 && s < 600;
            String text = "HTTP/1.1 %03d\r\n".formatted(s) + LENGTH;
            assertEquals(decode(text, text.length()).hasHead(), isValid, text);
        });
    }

    @DataProvider
    Object[][] brokenParts() {
        return new Object[][] {
            {"HTTP/2.0 200 OK\r\n" + LENGTH, AnswerPart.VERSION},
            {"garbage", AnswerPart.VERSION},
            {"HTTP/1.1 000 OK\r\n" + LENGTH, AnswerPart.STATUS},
            {"HTTP/1.1 2000 OK\r\n" + LENGTH, AnswerPart.STATUS},
            {"HTTP/1.1 20\r\n" + LENGTH, AnswerPart.STATUS},
            {"HTTP/1.1 200 a\u0000b\r\n" + LENGTH, AnswerPart.REASON},
            {HEAD + "Bad Name: x\r\n" + LENGTH, AnswerPart.FIELD_NAME},
            {HEAD + "Nothing\r\n" + LENGTH, AnswerPart.FIELD},
            {HEAD + "X: \u0001\r\n" + LENGTH, AnswerPart.FIELD},
            {HEAD + "Content-Length: 7\r\n" + LENGTH, AnswerPart.FIELD},
            {HEAD + CHUNKS.replace("chunked", "xchunked") + "\r\n", AnswerPart.FRAMING},
            {HEAD + "Content-Length: 6\r\n" + CHUNKS + "\r\n", AnswerPart.FRAMING},
            {HEAD + CHUNKS.replace("6\r\n", "x\r\n") + "\r\n", AnswerPart.BODY},
            {HEAD + CHUNKS + "Bad : x\r\n\r\n", AnswerPart.TRAILER},
            {"HTTP/1.1 103 Hints\r\nBad : x\r\n\r\n" + HEAD + LENGTH, AnswerPart.FIELD_NAME},
            {"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + LENGTH, AnswerPart.STATUS},
        };
    }

    @Test(dataProvider = "brokenParts")
    public void namesTheBrokenPart(String text, AnswerPart part) {
        assertEquals(decode(text, text.length()).brokenPart(), Optional.of(part));
        assertEquals(decode(text, 1).brokenPart(), Optional.of(part));
    }

    /** Guards against a line without end that fills the memory. */
    @Test
    public void limitsTheLengthOfAStatusLine() {
        String text = "HTTP/1.1 200 " + "a".repeat(10_000);
        assertEquals(decode(text, text.length()).brokenPart(), Optional.of(AnswerPart.REASON));
        assertEquals(decode(text, 100).brokenPart(), Optional.of(AnswerPart.REASON));
    }

    /** Sound responses in a rush, also behind interim ones and behind the line end that some servers send. */
    @Test(dataProvider = "pieces")
    public void takesResponsesBehindEachOther(int pieceBytes) {
        String rush = HEAD + LENGTH + "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n" + HEAD + CHUNKS + TRAILERS + "\r\n"
                + HEAD + LENGTH;
        Decoded decoded = decode(rush, pieceBytes);
        assertEquals(decoded, new Decoded(true, 4, Optional.empty()));
    }
}
