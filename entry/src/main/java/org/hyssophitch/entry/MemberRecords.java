package org.hyssophitch.entry;

import java.net.InetSocketAddress;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.entry.EntryHost;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.wire.net.Addresses;

/** Converts between the records of entry hosts that the store, the membership and the call engine use. Stateless. */
final class MemberRecords {

    private MemberRecords() {}

    /** Returns the record of a host that the store lists, before any news of it. */
    static Member ofListed(EntryHost h) {
        return new Member(
                h.host(),
                h.incarnation(),
                0,
                MemberState.ALIVE,
                h.zone(),
                h.peerAddress(),
                h.frontAddress(),
                h.incarnation(),
                false,
                0,
                0);
    }

    /** Returns whether a host has addresses to which this host can send without resolving a name. */
    static boolean hasUsableAddresses(Member m) {
        return Addresses.isLiteral(m.agentAddress()) && Addresses.isLiteral(m.proxyAddress());
    }

    /** Returns the address at which a host takes calls in place of a backend server. */
    static BackendServer forwardingHost(Member m) {
        InetSocketAddress front = Addresses.parse(m.proxyAddress());
        return new BackendServer(
                "entry-host/" + m.host(), front.getHostString(), front.getPort(), m.zone(), 1, 0, false);
    }
}
