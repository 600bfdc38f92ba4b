package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import org.hyssophitch.wire.generated.Wire;
import org.tinylog.Logger;

/**
 * UDP socket for the datagrams between agents. Thread-safe; open from construction until {@link #close}.
 */
public final class DatagramEndpoint implements AutoCloseable {

    private final Channel channel;
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder bytesReceived = new LongAdder();
    private final BoundedWarning malformed = new BoundedWarning("dropped a malformed datagram");
    private final BoundedWarning undeliverable = new BoundedWarning("left out a part that fits into no datagram");

    /**
     * Opens and binds the socket.
     *
     * @param group event loops that serve the socket
     * @param local address to bind to
     * @param receiver called on the event loop for each datagram
     */
    public DatagramEndpoint(EventLoopGroup group, InetSocketAddress local, Consumer<Wire.AgentDatagram> receiver) {
        DatagramBuffer buffer = new DatagramBuffer();
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(Transports.datagramChannel(group))
                .option(ChannelOption.RECVBUF_ALLOCATOR, buffer)
                .handler(new Receiver(receiver));
        channel = Binding.bind(bootstrap, local);
        channel.closeFuture().addListener(f -> buffer.release());
    }

    /**
     * Sends a message without guarantee of delivery, in as many datagrams as it needs; one to a malformed address is
     * dropped.
     */
    public void send(String address, Wire.AgentDatagram message) {
        InetSocketAddress to;
        try {
            to = Addresses.parse(address);
        } catch (MalformedAddressException e) {
            Logger.debug("dropped a datagram: {}", e.getMessage());
            return;
        }
        DatagramDivider.divide(message, n -> undeliverable.add(n + " bytes")).forEach(d -> send(to, d.toByteArray()));
    }

    private void send(InetSocketAddress to, byte[] datagram) {
        bytesSent.add(datagram.length);
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to));
    }

    /** Returns the number of payload bytes sent so far. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Returns the number of payload bytes received so far. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /** Returns the number of datagrams that were dropped because they are malformed. */
    public long malformed() {
        return malformed.count();
    }

    /** Returns the number of parts of messages that were left out because no datagram is large enough for them. */
    public long undeliverable() {
        return undeliverable.count();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Consumer<Wire.AgentDatagram> receiver;

        private Receiver(Consumer<Wire.AgentDatagram> receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            bytesReceived.add(bytes.length);
            try {
                receiver.accept(Wire.AgentDatagram.parseFrom(bytes));
            } catch (InvalidProtocolBufferException e) {
                malformed.add(bytes.length + " bytes from " + packet.sender());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Logger.debug("datagram socket failed: {}", cause.toString());
        }
    }
}
