package org.hyssophitch.bench;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import org.hyssophitch.wire.net.StrictResponseDecoder;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** JMH benchmark of decoding one answer of a backend server. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class AnswerBenchmark {

    private static final String ANSWER = "HTTP/1.1 200 OK\r\n"
            + "Request-Id: 0c41f2-7d31-44aa-9be0-118829\r\n"
            + "Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            + "Load-In-Flight: 2\r\n"
            + "Date: Mon, 07 Dec 2026 01:10:36 GMT\r\n"
            + "Server: backend\r\n"
            + "Content-Type: application/json\r\n"
            + "Cache-Control: no-store\r\n"
            + "Content-Length: 40\r\n\r\n"
            + "{\"status\":\"on-air\",\"site\":\"ben-nevis-2\"}";

    /** Whether the decoder checks the grammar of the protocol. */
    @Param({"false", "true"})
    public boolean isStrict;

    private EmbeddedChannel channel;
    private ByteBuf answer;

    /** Creates the decoder. */
    @Setup
    public void prepare() {
        HttpDecoderConfig config = new HttpDecoderConfig();
        channel = new EmbeddedChannel(isStrict ? new StrictResponseDecoder(config) : new HttpResponseDecoder(config));
        answer = Unpooled.copiedBuffer(ANSWER, StandardCharsets.ISO_8859_1);
    }

    /** Decodes one answer. */
    @Benchmark
    public int decode() {
        channel.writeInbound(answer.retainedDuplicate());
        int parts = 0;
        for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
            ReferenceCountUtil.release(part);
            parts++;
        }
        return parts;
    }
}
