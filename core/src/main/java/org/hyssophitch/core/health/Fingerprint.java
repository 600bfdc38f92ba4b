package org.hyssophitch.core.health;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.hyssophitch.core.team.MissingAlgorithmException;

/** Identifies requests with the same content to all entry hosts, in a length that fits into a datagram. Stateless. */
public final class Fingerprint {

    /** Maximum size in bytes of a fingerprint that is the content itself. */
    static final int MAX_BYTES = 1_024;

    private static final String ALGORITHM = "SHA-256";
    private static final int HASH_BYTES = 8;
    private static final int LONG_HASH_BYTES = 16;
    /** Characters of the content that go before its hash, for log lines. */
    private static final int PREFIX_LENGTH = 64;

    private static final int MAX_BYTES_PER_CHAR = 3;

    private Fingerprint() {}

    /** Returns a hash of the content. */
    public static String of(String content) {
        return hash(content.getBytes(StandardCharsets.UTF_8), HASH_BYTES);
    }

    /**
     * Returns the content itself if it is short, else its beginning and a hash. A fingerprint is its own fingerprint,
     * so the whole content that a host of an earlier build sends is shortened in the same way.
     */
    public static String bounded(String content) {
        if (content.length() <= MAX_BYTES / MAX_BYTES_PER_CHAR) {
            return content;
        }
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        return bytes.length <= MAX_BYTES
                ? content
                : content.substring(0, PREFIX_LENGTH) + '~' + hash(bytes, LONG_HASH_BYTES);
    }

    private static String hash(byte[] content, int bytes) {
        try {
            byte[] digest = MessageDigest.getInstance(ALGORITHM).digest(content);
            return HexFormat.of().formatHex(digest, 0, bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new MissingAlgorithmException(ALGORITHM, e);
        }
    }
}
