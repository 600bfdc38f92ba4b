package org.hyssophitch.core.configuration;

/**
 * Rule for the responses that tell callers which entry hosts to use. Immutable.
 *
 * @param addressesPerAnswer number of entry host addresses per response
 * @param ttlSeconds time in seconds for which a caller may cache the response
 */
public record AddressRule(int addressesPerAnswer, int ttlSeconds) {

    /** Rule used when the configuration document defines none. */
    public static final AddressRule DEFAULT = new AddressRule(3, 10);
}
