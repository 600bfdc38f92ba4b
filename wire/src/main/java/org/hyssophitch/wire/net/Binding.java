package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/** Binds Netty channels to local addresses. Stateless. */
public final class Binding {

    private Binding() {}

    /**
     * Binds a channel and blocks until it is bound; must not be called on an event loop.
     *
     * @throws ListenFailedException when the channel can't be bound to the address
     */
    public static Channel bind(AbstractBootstrap<?, ?> bootstrap, InetSocketAddress local) {
        ChannelFuture bound = bootstrap.bind(local).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new ListenFailedException(local, bound.cause());
        }
        return bound.channel();
    }
}
