package org.turmericspan.ids;

/** Hash that is equal on every node and in every process. */
public final class StableHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private StableHash() {}

    /**
     * Hashes a text.
     *
     * @param text any text
     * @return a well-mixed number
     */
    public static long of(CharSequence text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /**
     * Hashes bytes into an earlier hash.
     *
     * @param seed the earlier hash
     * @param bytes any bytes
     * @return a well-mixed number
     */
    public static long of(long seed, byte[] bytes) {
        long hash = seed ^ FNV_OFFSET;
        for (byte each : bytes) {
            hash = (hash ^ each) * FNV_PRIME;
        }
        return mix(hash);
    }

    private static long mix(long value) {
        long mixed = (value ^ value >>> MIX_SHIFT) * MIX_FIRST;
        mixed = (mixed ^ mixed >>> MIX_SHIFT) * MIX_SECOND;
        return mixed ^ mixed >>> MIX_SHIFT;
    }
}
