package org.hyssophitch.wire.codec;

import java.util.Optional;
import java.util.stream.Stream;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.wire.json.Json;
import org.hyssophitch.wire.net.Addresses;

/**
 * Which registrations of backend servers can be used, whether they come from the store or from another host. A name has
 * to fit into a header, and a host into a connect call that resolves no name on the event loop. Stateless.
 */
public final class RegistrationRules {

    private static final int MAX_TEXT_LENGTH = 300;
    private static final int MAX_SLOTS = 1_000_000;
    private static final char FIRST_PRINTABLE = ' ';
    private static final char LAST_PRINTABLE = '~';

    private RegistrationRules() {}

    /** Returns the name of the field for which a registration can't be used; empty if it can. */
    static Optional<String> invalidField(RegisteredServer r) {
        BackendServer s = r.server();
        return Stream.of(
                        fieldUnless(isPrintable(s.name()) && isPrintable(s.instance()), "name"),
                        fieldUnless(isText(r.service()), "service"),
                        fieldUnless(isText(s.zone()), "zone"),
                        fieldUnless(Addresses.isLiteralHost(s.host()) && Addresses.isPort(s.port()), "address"),
                        fieldUnless(s.slots() >= 1 && s.slots() <= MAX_SLOTS, "slots"))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /**
     * Returns a registration that can be used.
     *
     * @throws Json.FieldException if it can't
     */
    public static RegisteredServer checked(RegisteredServer r) {
        invalidField(r).ifPresent(f -> {
            throw new Json.FieldException(f);
        });
        return r;
    }

    private static Optional<String> fieldUnless(boolean isValid, String field) {
        return isValid ? Optional.empty() : Optional.of(field);
    }

    private static boolean isText(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_TEXT_LENGTH
                && text.chars().noneMatch(Character::isISOControl);
    }

    private static boolean isPrintable(String text) {
        return isText(text) && text.chars().allMatch(c -> c >= FIRST_PRINTABLE && c <= LAST_PRINTABLE);
    }
}
