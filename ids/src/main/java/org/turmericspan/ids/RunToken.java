package org.turmericspan.ids;

/**
 * Right to run one non-idempotent request, bound to one life of one node. Only the process with that incarnation may
 * ever start the run.
 *
 * @param incarnation life of the node that may start the run
 * @param epoch period in which the token is valid
 * @param caller caller that stamped the request
 * @param nonce 32 hexadecimal digits, fresh for each intended run
 */
public record RunToken(Incarnation incarnation, Epoch epoch, CallerId caller, String nonce) {
    private static final int PARTS = 4;
    private static final int NONCE_LENGTH = 32;
    private static final String SEPARATOR = ".";

    /** Checks the form of the nonce. */
    public RunToken {
        if (nonce.length() != NONCE_LENGTH || !nonce.chars().allMatch(RunToken::isHexDigit)) {
            throw new IllegalArgumentException("RunToken takes a nonce of 32 lower-case hexadecimal digits");
        }
    }

    /**
     * Reads the text form {@code incarnation.epoch.nonce.caller}.
     *
     * @param text the header value
     * @return the token
     * @throws IllegalArgumentException when the text has another form
     */
    public static RunToken parse(String text) {
        String[] parts = text.split("\\.", PARTS);
        if (parts.length != PARTS) {
            throw new IllegalArgumentException("RunToken takes incarnation.epoch.nonce.caller");
        }
        return new RunToken(
                Incarnation.parse(parts[0]),
                new Epoch(Long.parseLong(parts[1])),
                new CallerId(parts[PARTS - 1]),
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
