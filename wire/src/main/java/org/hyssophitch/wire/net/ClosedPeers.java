package org.hyssophitch.wire.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import org.tinylog.Logger;

/** Tells whether the peer of a connection has closed it, even if bytes before the close aren't read yet. Stateless. */
public final class ClosedPeers {

    /** State of a connection in Linux that has ended or was reset. */
    private static final int TCP_CLOSE = 7;
    /** State of a connection in Linux whose peer has ended it. */
    private static final int TCP_CLOSE_WAIT = 8;

    private ClosedPeers() {}

    /** Returns whether the peer is known to have closed a connection; false where the transport doesn't tell. */
    public static boolean isClosedByPeer(Channel channel) {
        if (!(channel instanceof EpollSocketChannel socket) || !socket.isOpen()) {
            return false;
        }
        try {
            int state = socket.tcpInfo().state();
            return state == TCP_CLOSE || state == TCP_CLOSE_WAIT;
        } catch (ChannelException e) {
            Logger.debug("no state of the connection from {}: {}", channel.remoteAddress(), e.toString());
            return false;
        }
    }
}
