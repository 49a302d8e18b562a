package org.turmericspan.ids;

/**
 * 64-bit hash that is the same on every node and in every process: FNV-1a followed by the finalizer of MurmurHash3. It
 * hashes UTF-16 code units and sign-extended bytes, so it differs from other implementations of FNV-1a.
 */
public final class StableHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long FMIX64_FIRST_MULTIPLIER = 0xff51afd7ed558ccdL;
    private static final long FMIX64_SECOND_MULTIPLIER = 0xc4ceb9fe1a85ec53L;
    /** Bits of a hash that a fraction holds exactly. */
    private static final int FRACTION_BITS = 53;

    private static final int FMIX64_SHIFT = 33;

    private StableHash() {}

    /**
     * Hashes a character sequence.
     *
     * @param text any text
     * @return the 64-bit hash
     */
    public static long of(CharSequence text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return fmix64(hash);
    }

    /**
     * Hashes bytes, seeded with an earlier hash.
     *
     * @param seed the earlier hash
     * @param bytes any bytes
     * @return the 64-bit hash
     */
    public static long of(long seed, byte[] bytes) {
        long hash = seed ^ FNV_OFFSET_BASIS;
        for (byte each : bytes) {
            hash = (hash ^ each) * FNV_PRIME;
        }
        return fmix64(hash);
    }

    /**
     * Combines two hashes into one that depends on both and on their order.
     *
     * @param first a hash
     * @param second another hash
     * @return the 64-bit hash
     */
    public static long combine(long first, long second) {
        return fmix64(first * FNV_PRIME ^ second);
    }

    /**
     * Returns the position of a hash among all hashes.
     *
     * @param hash the hash
     * @return number from 0 to 1, exclusive
     */
    public static double fraction(long hash) {
        return (hash >>> Long.SIZE - FRACTION_BITS) / (double) (1L << FRACTION_BITS);
    }

    private static long fmix64(long value) {
        long mixed = (value ^ value >>> FMIX64_SHIFT) * FMIX64_FIRST_MULTIPLIER;
        mixed = (mixed ^ mixed >>> FMIX64_SHIFT) * FMIX64_SECOND_MULTIPLIER;
        return mixed ^ mixed >>> FMIX64_SHIFT;
    }
}
