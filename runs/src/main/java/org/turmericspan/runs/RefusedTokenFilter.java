package org.turmericspan.runs;

import org.turmericspan.ids.RunToken;

/**
 * Bloom filter of refused run tokens. Its size is fixed, so adding a token never fails. A false positive is safe: the
 * request with that token is refused as not run, and in fact it does not run.
 */
final class RefusedTokenFilter implements RefusedTokens {
    /** Size of the filter in words of 64 bits, which is 64 KiB. */
    private static final int WORD_COUNT = 8_192;

    private static final int BIT_MASK = WORD_COUNT * Long.SIZE - 1;

    /** Number of bits that are set for each token. */
    private static final int HASH_COUNT = 4;

    private static final int HALF_NONCE_DIGITS = 16;
    private static final int HEX_RADIX = 16;

    // Constants of the 64-bit finalizer of MurmurHash3.
    private static final long MIX_FIRST_MULTIPLIER = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND_MULTIPLIER = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    /** Bits of the filter; empty until the first token is added. */
    private long[] words = {};

    @Override
    public void add(RunToken token) {
        if (words.length == 0) {
            words = new long[WORD_COUNT];
        }
        long first = firstHash(token);
        long second = secondHash(token);
        for (int i = 0; i < HASH_COUNT; i++) {
            int bitIndex = bitIndex(first, second, i);
            words[bitIndex / Long.SIZE] |= 1L << bitIndex;
        }
    }

    @Override
    public boolean mayContain(RunToken token) {
        if (words.length == 0) {
            return false;
        }
        long first = firstHash(token);
        long second = secondHash(token);
        for (int i = 0; i < HASH_COUNT; i++) {
            int bitIndex = bitIndex(first, second, i);
            if ((words[bitIndex / Long.SIZE] & 1L << bitIndex) == 0) {
                return false;
            }
        }
        return true;
    }

    private static int bitIndex(long first, long second, int hashIndex) {
        return (int) (first + hashIndex * second) & BIT_MASK;
    }

    private static long firstHash(RunToken token) {
        long high = Long.parseUnsignedLong(token.nonce(), 0, HALF_NONCE_DIGITS, HEX_RADIX);
        return mix(high ^ token.caller().hashCode());
    }

    private static long secondHash(RunToken token) {
        long low = Long.parseUnsignedLong(token.nonce(), HALF_NONCE_DIGITS, 2 * HALF_NONCE_DIGITS, HEX_RADIX);
        return mix(low) | 1;
    }

    private static long mix(long value) {
        long mixed = (value ^ value >>> MIX_SHIFT) * MIX_FIRST_MULTIPLIER;
        mixed = (mixed ^ mixed >>> MIX_SHIFT) * MIX_SECOND_MULTIPLIER;
        return mixed ^ mixed >>> MIX_SHIFT;
    }
}
