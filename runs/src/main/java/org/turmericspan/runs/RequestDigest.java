package org.turmericspan.runs;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.turmericspan.calls.CallRequest;

/**
 * SHA-256 digest of the service, method, path and body of a request. It distinguishes a duplicate request from another
 * request with the same run token.
 *
 * @param first first 64 bits
 * @param second second 64 bits
 * @param third third 64 bits
 * @param fourth last 64 bits
 */
record RequestDigest(long first, long second, long third, long fourth) {
    private static final String ALGORITHM = "SHA-256";

    /** Ends each text, so that texts with the same concatenation have different digests. */
    private static final byte SEPARATOR = 0;

    static RequestDigest of(CallRequest request) {
        MessageDigest digest = newDigest();
        addText(digest, request.service().value());
        addText(digest, request.method());
        addText(digest, request.path());
        ByteBuffer bytes = ByteBuffer.wrap(digest.digest(request.body().bytes()));
        return new RequestDigest(bytes.getLong(), bytes.getLong(), bytes.getLong(), bytes.getLong());
    }

    private static void addText(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("The Java runtime does not provide the required digest " + ALGORITHM, e);
        }
    }
}
