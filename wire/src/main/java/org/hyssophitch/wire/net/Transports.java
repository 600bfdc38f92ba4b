package org.hyssophitch.wire.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.tinylog.Logger;

/**
 * The kinds of channels that fit an event loop. Stateless.
 *
 * <p>On Linux the event loops use epoll itself, which tells that a peer has closed a connection that isn't read at the
 * moment; the selectors of the Java platform don't.
 */
public final class Transports {

    private static final boolean HAS_EPOLL = Epoll.isAvailable();

    static {
        if (!HAS_EPOLL) {
            Logger.warn("no native transport, so peers that leave are noticed later: {}", Epoll.unavailabilityCause());
        }
    }

    private Transports() {}

    static IoHandlerFactory ioHandlers() {
        return HAS_EPOLL ? EpollIoHandler.newFactory() : NioIoHandler.newFactory();
    }

    /** Returns the class of listening channels for an event loop. */
    public static Class<? extends ServerSocketChannel> serverChannel(EventLoopGroup group) {
        return isEpoll(group) ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /** Returns the class of connections for an event loop. */
    public static Class<? extends SocketChannel> channel(EventLoopGroup group) {
        return isEpoll(group) ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /** Returns the class of datagram sockets for an event loop. */
    static Class<? extends DatagramChannel> datagramChannel(EventLoopGroup group) {
        return isEpoll(group) ? EpollDatagramChannel.class : NioDatagramChannel.class;
    }

    private static boolean isEpoll(EventLoopGroup group) {
        return group instanceof IoEventLoopGroup g && g.isIoType(EpollIoHandler.class);
    }
}
