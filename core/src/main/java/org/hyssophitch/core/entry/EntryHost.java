package org.hyssophitch.core.entry;

/**
 * An entry host's own record in the platform's store, through which the other entry hosts find it. Immutable.
 *
 * @param host name of the entry host
 * @param incarnation start time of its process in microseconds; a later incarnation replaces an earlier one
 * @param zone availability zone
 * @param peerAddress address for datagrams from the other entry hosts
 * @param frontAddress address for callers' requests
 */
public record EntryHost(String host, long incarnation, String zone, String peerAddress, String frontAddress) {}
