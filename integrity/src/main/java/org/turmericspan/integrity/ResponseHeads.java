package org.turmericspan.integrity;

/**
 * Detects response heads that two responses form together. If a server sends the first bytes of a response and then a
 * whole one, the decoder continues a line of the first with the status line of the second, and takes the status of the
 * first for that of the second.
 */
public final class ResponseHeads {
    private ResponseHeads() {}

    /**
     * Returns whether a status line stands within a part of a head.
     *
     * @param text reason phrase or value of a header
     * @return whether it contains a protocol version that is followed by a status code
     */
    public static boolean containStatusLine(String text) {
        int state = StatusLine.NONE;
        for (int i = 0; i < text.length() && state != StatusLine.COMPLETE; i++) {
            state = StatusLine.next(state, text.charAt(i));
        }
        return state == StatusLine.COMPLETE;
    }
}
