package org.turmericspan.front;

import org.turmericspan.ids.Epoch;
import org.turmericspan.ids.Incarnation;

/** Tells what callers need to stamp run tokens for this node. */
public interface TokenIssuer {
    /**
     * Returns the life of this node.
     *
     * @return the incarnation
     */
    Incarnation incarnation();

    /**
     * Returns the epoch in which new tokens are stamped.
     *
     * @return the current epoch
     */
    Epoch epoch();
}
