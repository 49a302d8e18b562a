package org.turmericspan.tenancy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.SplittableRandom;
import org.turmericspan.ids.StableHash;

/** A key with which a caller proves its tenant. It is secret: no text form of it shows its characters. */
public final class ApiKey {
    /** Maximum length of a key; a longer text is no key of any tenant. */
    public static final int MAX_LENGTH = 512;

    /** Differs between processes, so that callers cannot search for keys of equal hash. */
    private static final long HASH_SEED = new SplittableRandom().nextLong();

    private final byte[] bytes;
    private final int hash;

    /**
     * Creates a key.
     *
     * @param text the key, 1 to {@link #MAX_LENGTH} visible ASCII characters without space
     * @throws IllegalArgumentException when the text has another form; the message does not show it
     */
    public ApiKey(String text) {
        if (!isWellFormed(text)) {
            throw new IllegalArgumentException(
                    "a key takes 1 to " + MAX_LENGTH + " visible ASCII characters without space");
        }
        this.bytes = text.getBytes(StandardCharsets.US_ASCII);
        this.hash = Long.hashCode(StableHash.of(HASH_SEED, bytes));
    }

    /**
     * Returns whether a text has the form of a key.
     *
     * @param text any text
     * @return whether a key can be created from it
     */
    public static boolean isWellFormed(String text) {
        if (text.isEmpty() || text.length() > MAX_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= '\u007f') {
                return false;
            }
        }
        return true;
    }

    /** Compares in a time that does not depend on the position of the first difference. */
    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKey that && MessageDigest.isEqual(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return hash;
    }

    @Override
    public String toString() {
        return "ApiKey[hidden]";
    }
}
