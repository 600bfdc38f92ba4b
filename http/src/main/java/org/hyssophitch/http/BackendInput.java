package org.hyssophitch.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Tells a backend connection what arrives on its channel and how its input ends, before the decoder handles it. The
 * decoder takes every end of the channel for the end of an answer without a length, also a reset that only a write has
 * noticed.
 */
final class BackendInput extends ChannelInboundHandlerAdapter {

    private final BackendConnection connection;

    BackendInput(BackendConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        connection.onBytes(((ByteBuf) message).readableBytes());
        context.fireChannelRead(message);
    }

    /** The server has ended its output in an orderly way. The event needs a channel that allows half-closure. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            connection.onInputEnded();
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connection.onInputLost();
        context.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connection.onInputLost();
        context.fireChannelInactive();
    }
}
