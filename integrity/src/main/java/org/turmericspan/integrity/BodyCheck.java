package org.turmericspan.integrity;

import java.util.Optional;

/**
 * Detects a response body that two responses form together. If a server sends a head and a part of the body, and then
 * another whole response, the first bytes of that response fill the body up to its declared length.
 *
 * <p>A sound body may contain status lines and whole heads, such as a page about the protocol. What distinguishes a
 * second response is the header in which servers echo the identifier of the request, or a head that begins within the
 * body and continues in the bytes behind it.
 */
public final class BodyCheck {
    /** Shortest start of a status line at the end of a body that is rare enough in sound bodies to wait. */
    private static final int MIN_PREFIX_TO_HOLD = 3;

    private final HeadScanner scanner;
    private final BodyVerdict verdict;

    /**
     * Checks a body that was received up to its end.
     *
     * @param body the body, without transfer coding
     * @param echoHeader header that servers copy from the request to the response, if any
     */
    public BodyCheck(byte[] body, Optional<String> echoHeader) {
        this.scanner = new HeadScanner(echoHeader);
        this.verdict = scan(body);
    }

    /**
     * Returns what the body itself shows.
     *
     * @return the verdict
     */
    public BodyVerdict verdict() {
        return verdict;
    }

    /**
     * Returns whether another response begins within the body and continues in the bytes behind it. Called once.
     *
     * @param following bytes that were received after the end of the body
     * @return false if there are none, or if they begin a message of their own
     */
    public boolean isContinuedBy(byte[] following) {
        if (following.length == 0 || beginsMessage(following)) {
            return false;
        }
        if (!scanner.isInHead() && scanner.prefixBytes() == 0) {
            return scanner.hasWholeHead();
        }
        for (byte next : following) {
            int prefixBytes = scanner.prefixBytes();
            scanner.accept(next);
            if (!scanner.isInHead() && scanner.prefixBytes() <= prefixBytes) {
                return scanner.hasWholeHead();
            }
        }
        return true;
    }

    private static boolean beginsMessage(byte[] bytes) {
        int state = StatusLine.NONE;
        for (byte next : bytes) {
            int nextState = StatusLine.next(state, next);
            if (nextState == StatusLine.COMPLETE) {
                return true;
            }
            if (nextState < Math.max(state, 1) || nextState == 1 && state > StatusLine.NONE) {
                return false;
            }
            state = nextState;
        }
        return false;
    }

    private BodyVerdict scan(byte[] body) {
        for (int i = 0; i < body.length; i++) {
            if (!scanner.isIdle() || StatusLine.mayBeginWith(body[i])) {
                scanner.accept(body[i]);
                if (scanner.hasEchoHeader()) {
                    return BodyVerdict.SPLICED;
                }
            }
        }
        if (scanner.isInHead() || scanner.prefixBytes() >= MIN_PREFIX_TO_HOLD) {
            return BodyVerdict.ENDS_IN_HEAD;
        }
        return scanner.prefixBytes() > 0 ? BodyVerdict.ENDS_IN_SHORT_PREFIX : BodyVerdict.SOUND;
    }
}
