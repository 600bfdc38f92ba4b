package org.hyssophitch.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells a backend connection what arrives on its channel, before the decoder handles it. */
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
}
