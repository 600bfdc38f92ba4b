package org.hyssophitch.core.entry;

/**
 * What an entry host tells the others through the platform's store. Immutable.
 *
 * @param host name of the entry host
 * @param incarnation start time of its process in microseconds; a later one replaces an earlier one
 * @param zone availability zone
 * @param peerAddress address for datagrams of the other entry hosts
 * @param frontAddress address for callers
 */
public record EntryHost(String host, long incarnation, String zone, String peerAddress, String frontAddress) {}
