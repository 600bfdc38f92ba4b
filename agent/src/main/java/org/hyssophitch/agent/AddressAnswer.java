package org.hyssophitch.agent;

import java.util.List;

/**
 * Answer to a caller that asks which entry hosts to use. Immutable.
 *
 * @param addresses addresses to use, the best first, each {@code ip:port}
 * @param keepSeconds time in seconds for which the caller may keep the answer
 */
public record AddressAnswer(List<String> addresses, int keepSeconds) {}
