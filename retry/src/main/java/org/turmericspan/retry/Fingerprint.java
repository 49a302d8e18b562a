package org.turmericspan.retry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.turmericspan.calls.CallRequest;

/**
 * Digest of what makes requests alike: service, method, path and body.
 *
 * @param value first 64 bits of a cryptographic digest, so that nobody can forge a likeness
 */
public record Fingerprint(long value) {
    private static final String ALGORITHM = "SHA-256";
    private static final byte SEPARATOR = 0;

    /**
     * Computes the fingerprint of a request.
     *
     * @param request the request
     * @return equal for requests that are alike, on every node
     */
    public static Fingerprint of(CallRequest request) {
        MessageDigest digest = digest();
        add(digest, request.service().value());
        add(digest, request.method());
        add(digest, request.path());
        digest.update(request.body().bytes());
        return new Fingerprint(ByteBuffer.wrap(digest.digest()).getLong());
    }

    private static void add(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform has " + ALGORITHM, e);
        }
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
