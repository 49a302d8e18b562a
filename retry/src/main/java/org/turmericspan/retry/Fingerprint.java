package org.turmericspan.retry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.turmericspan.calls.CallRequest;

/**
 * Hash of the service, method, path and body of a request. Equal requests have equal fingerprints.
 *
 * @param value first 64 bits of a cryptographic hash, so that a request cannot be crafted to match another
 */
public record Fingerprint(long value) {
    private static final String ALGORITHM = "SHA-256";
    private static final byte SEPARATOR = 0;

    /**
     * Computes the fingerprint of a request.
     *
     * @param request the request
     * @return the fingerprint, which is the same on every node
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
            throw new IllegalStateException("Every Java platform must support " + ALGORITHM, e);
        }
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
