package org.hyssophitch.agent;

import java.util.List;

/**
 * Response body that tells a caller which entry hosts to use. Immutable.
 *
 * @param addresses addresses to use in order of preference, each {@code ip:port}
 * @param keepSeconds time in seconds for which the caller may cache the response
 */
public record AddressAnswer(List<String> addresses, int keepSeconds) {}
