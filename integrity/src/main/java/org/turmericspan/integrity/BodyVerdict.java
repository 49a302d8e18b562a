package org.turmericspan.integrity;

/** What the body of a response shows of its wholeness. */
public enum BodyVerdict {
    /** Nothing in the body speaks against it. */
    SOUND,
    /** The body ends with the first bytes of what may be a status line, too few to wait for more. */
    ENDS_IN_SHORT_PREFIX,
    /** The body ends within what may be the head of another response; the bytes that follow, if any, decide. */
    ENDS_IN_HEAD,
    /** The body contains the head of another response. */
    SPLICED
}
