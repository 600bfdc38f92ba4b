package org.hyssophitch.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.wire.net.Binding;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.Transports;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that a connection closes only after its caller could read all that was written. */
public class GracefulCloseTest {

    /** More than the buffers of both sockets hold. */
    private static final int RESPONSE_BYTES = 16_000_000;

    private static final int SMALL_BUFFER_BYTES = 4_096;
    /** More than the time for which a closing connection still reads. */
    private static final long PAUSE_MILLIS = 800;

    /** Time in milliseconds for which the caller reads nothing at most before it is cut off; whether it gets all. */
    @DataProvider
    Object[][] stalls() {
        return new Object[][] {{10_000, true}, {100, false}};
    }

    /** The time for late bytes began before the output was flushed, so that a slow caller lost a response's end. */
    @Test(dataProvider = "stalls")
    public void slowCallerGetsTheWholeResponse(int maxStallMillis, boolean isWhole) throws Exception {
        EventLoopGroup group = EventLoops.create(1);
        Channel listener = Binding.bind(
                new ServerBootstrap()
                        .group(group)
                        .channel(Transports.serverChannel(group))
                        .childHandler(new ClosingHandler(maxStallMillis)),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        try (Socket c = new Socket()) {
            c.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            c.connect(listener.localAddress());
            Thread.sleep(PAUSE_MILLIS);
            int received = c.getInputStream().readAllBytes().length;
            assertEquals(received == RESPONSE_BYTES, isWhole, received + " bytes received");
        } finally {
            EventLoops.close(group);
        }
    }

    /** Writes a response and closes the connection. */
    private static final class ClosingHandler extends ChannelInboundHandlerAdapter {

        private final long maxStallMillis;

        private ClosingHandler(long maxStallMillis) {
            this.maxStallMillis = maxStallMillis;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.write(Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES]));
            GracefulClose.start(context.channel(), maxStallMillis);
        }
    }
}
