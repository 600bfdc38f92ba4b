package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import org.hyssophitch.wire.generated.Wire;
import org.tinylog.Logger;

/**
 * Creates TCP connections that carry length-prefixed protobuf frames. Stateless; callers close the returned channels.
 */
public final class FrameChannels {

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private FrameChannels() {}

    /** Listener for the events of a connection. Called on the event loop. */
    public interface Receiver {

        /** A frame arrived. */
        void onFrame(Channel channel, Wire.Frame frame);

        /** The connection was opened. */
        default void onOpen(Channel channel) {}

        /** The connection was closed. */
        default void onClose(Channel channel) {}
    }

    /** Opens a listening socket that reports the events of each accepted connection to a receiver. */
    public static Channel listen(EventLoopGroup group, InetSocketAddress local, Receiver receiver) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(Transports.serverChannel(group))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, FairReads.allocator())
                .childHandler(new Pipeline(receiver));
        return Binding.bind(bootstrap, local);
    }

    /** Opens a connection; the future completes with its channel, or exceptionally when the connect fails. */
    public static CompletableFuture<Channel> connect(
            EventLoopGroup group, InetSocketAddress remote, Receiver receiver) {
        CompletableFuture<Channel> result = new CompletableFuture<>();
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(Transports.channel(group))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, FairReads.allocator())
                .handler(new Pipeline(receiver))
                .connect(remote);
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                result.complete(connecting.channel());
            } else {
                result.completeExceptionally(f.cause());
            }
        });
        return result;
    }

    private static final class Pipeline extends ChannelInitializer<SocketChannel> {
        private final Receiver receiver;

        private Pipeline(Receiver receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new ProtobufVarint32FrameDecoder())
                    .addLast(new ProtobufDecoder(Wire.Frame.getDefaultInstance()))
                    .addLast(new ProtobufVarint32LengthFieldPrepender())
                    .addLast(new ProtobufEncoder())
                    .addLast(new Handler(receiver));
        }
    }

    private static final class Handler extends SimpleChannelInboundHandler<Wire.Frame> {
        private final Receiver receiver;

        private Handler(Receiver receiver) {
            this.receiver = receiver;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            receiver.onOpen(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Wire.Frame frame) {
            receiver.onFrame(context.channel(), frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            receiver.onClose(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Logger.debug("closing the connection to {}: {}", context.channel().remoteAddress(), cause.toString());
            context.close();
        }
    }
}
