package org.hyssophitch.wire.net;

import java.net.InetSocketAddress;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/** Binds listeners. Stateless. */
public final class Binding {

    private Binding() {}

    /**
     * Binds a listener and waits until it is bound; must not be called on an event loop.
     *
     * @throws ListenFailedException when the address can't be bound
     */
    public static Channel bind(AbstractBootstrap<?, ?> bootstrap, InetSocketAddress local) {
        ChannelFuture bound = bootstrap.bind(local).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new ListenFailedException(local, bound.cause());
        }
        return bound.channel();
    }
}
