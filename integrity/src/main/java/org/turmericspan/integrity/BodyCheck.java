package org.turmericspan.integrity;

import java.util.Arrays;
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

    private final byte[] body;
    private final Optional<String> echoHeader;
    private final BodyVerdict verdict;
    private int openHeadStart;

    /**
     * Checks a body that was received up to its end.
     *
     * @param body the body, without transfer coding
     * @param echoHeader header that servers copy from the request to the response, if any
     */
    public BodyCheck(byte[] body, Optional<String> echoHeader) {
        this.body = body;
        this.echoHeader = echoHeader;
        this.verdict = scan();
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
     * Returns whether another response begins within the body and continues in the bytes behind it.
     *
     * @param following bytes that were received after the end of the body
     * @return false if there are none, or if they begin a message of their own
     */
    public boolean isContinuedBy(byte[] following) {
        if (following.length == 0 || verdict == BodyVerdict.SOUND || verdict == BodyVerdict.SPLICED) {
            return false;
        }
        int openLength = body.length - openHeadStart;
        byte[] joined = Arrays.copyOfRange(body, openHeadStart, body.length + following.length);
        System.arraycopy(following, 0, joined, openLength, following.length);
        int position = 0;
        while (position < openLength) {
            int matched = StatusLine.matchedLength(joined, position);
            if (matched > 0 && position + matched == joined.length) {
                return true;
            }
            if (matched < StatusLine.LENGTH) {
                position++;
                continue;
            }
            HeadReader head = new HeadReader(joined, position + matched, echoHeader);
            if (position + matched > openLength || !head.isMalformed()) {
                return true;
            }
            position = head.resumeAt();
        }
        return false;
    }

    private BodyVerdict scan() {
        int position = nextStart(0);
        while (position < body.length) {
            int matched = StatusLine.matchedLength(body, position);
            if (position + matched == body.length) {
                openHeadStart = position;
                return matched < MIN_PREFIX_TO_HOLD ? BodyVerdict.ENDS_IN_SHORT_PREFIX : BodyVerdict.ENDS_IN_HEAD;
            }
            if (matched < StatusLine.LENGTH) {
                position = nextStart(position + 1);
                continue;
            }
            HeadReader head = new HeadReader(body, position + matched, echoHeader);
            if (head.hasEchoHeader()) {
                return BodyVerdict.SPLICED;
            }
            if (head.isUnfinished()) {
                openHeadStart = position;
                return BodyVerdict.ENDS_IN_HEAD;
            }
            position = nextStart(head.resumeAt());
        }
        return BodyVerdict.SOUND;
    }

    /** Returns the first index at which a status line may begin; the length of the body if there is none. */
    private int nextStart(int from) {
        byte[] bytes = body;
        int last = bytes.length - 1;
        for (int i = from; i < last; i++) {
            if (bytes[i] == 'H' && bytes[i + 1] == 'T') {
                return i;
            }
        }
        return from <= last && bytes[last] == 'H' ? last : bytes.length;
    }
}
