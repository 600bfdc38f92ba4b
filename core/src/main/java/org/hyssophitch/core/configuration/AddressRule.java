package org.hyssophitch.core.configuration;

/**
 * Rule for the answers to callers that ask which entry hosts to use. Immutable.
 *
 * @param addressesPerAnswer number of entry host addresses in one answer
 * @param ttlSeconds time in seconds for which a caller may keep the answer
 */
public record AddressRule(int addressesPerAnswer, int ttlSeconds) {

    /** Rule used when the document names none. */
    public static final AddressRule DEFAULT = new AddressRule(3, 10);
}
