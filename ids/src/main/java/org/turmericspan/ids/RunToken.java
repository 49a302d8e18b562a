package org.turmericspan.ids;

/**
 * Idempotency key of one non-idempotent request, bound to one incarnation of one node, its token owner. Only the
 * process of that incarnation may ever start the run.
 *
 * @param incarnation incarnation of the node that may start the run
 * @param epoch epoch of that node in which the token was issued; it determines when the token expires
 * @param caller caller that attached the token to the request
 * @param nonce 32 lower-case hexadecimal digits, different for each intended run
 */
public record RunToken(Incarnation incarnation, Epoch epoch, CallerId caller, String nonce) {
    private static final int PART_COUNT = 4;
    private static final int NONCE_LENGTH = 32;
    private static final String SEPARATOR = ".";

    /** Checks the form of the nonce. */
    public RunToken {
        if (nonce.length() != NONCE_LENGTH || !nonce.chars().allMatch(RunToken::isHexDigit)) {
            throw new IllegalArgumentException("RunToken takes a nonce of 32 lower-case hexadecimal digits");
        }
    }

    /**
     * Parses the text form {@code incarnation.epoch.nonce.caller}.
     *
     * @param text the header value
     * @return the token
     * @throws IllegalArgumentException when the text has another form
     */
    public static RunToken parse(String text) {
        String[] parts = text.split("\\.", PART_COUNT);
        if (parts.length != PART_COUNT) {
            throw new IllegalArgumentException("RunToken takes incarnation.epoch.nonce.caller");
        }
        return new RunToken(
                Incarnation.parse(parts[0]),
                new Epoch(Long.parseLong(parts[1])),
                new CallerId(parts[PART_COUNT - 1]),
                parts[2]);
    }

    private static boolean isHexDigit(int character) {
        return character >= '0' && character <= '9' || character >= 'a' && character <= 'f';
    }

    @Override
    public String toString() {
        return incarnation + SEPARATOR + epoch + SEPARATOR + nonce + SEPARATOR + caller;
    }
}
