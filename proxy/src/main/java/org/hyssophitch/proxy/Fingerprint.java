package org.hyssophitch.proxy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes a request's content; the result is truncated because it is shared with the other entry hosts. Stateless. */
final class Fingerprint {

    private static final int LENGTH_BYTES = 8;

    private Fingerprint() {}

    static String of(String content) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(content.getBytes(StandardCharsets.UTF_8)), 0, LENGTH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new MissingDigestException(e);
        }
    }
}
