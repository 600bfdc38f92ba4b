package org.hyssophitch.core.team;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * First 128 bits of the SHA-256 digest of an API key. Immutable.
 *
 * <p>Hosts keep, compare and send only digests, so that no log line, metric or datagram can reveal a key.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
public record KeyDigest(long high, long low) {

    /** Size of a digest in bytes. */
    public static final int BYTES = 16;

    private static final String ALGORITHM = "SHA-256";

    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        return ofBytes(sha256().digest(key.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the digest of a key in a header, whose characters stand for one byte each. */
    public static KeyDigest ofHeaderValue(String key) {
        return ofBytes(sha256().digest(key.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Returns the digest whose bits are the first {@value #BYTES} bytes. */
    public static KeyDigest ofBytes(byte[] bytes) {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        return new KeyDigest(b.getLong(), b.getLong());
    }

    /** Returns the digest as {@value #BYTES} bytes. */
    public byte[] toBytes() {
        return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new MissingAlgorithmException(ALGORITHM, e);
        }
    }
}
