package org.turmericspan.front;

import org.turmericspan.ids.Epoch;
import org.turmericspan.ids.Incarnation;

/** Supplies the values that callers put into run tokens for this node. */
public interface TokenIssuer {
    /**
     * Returns the incarnation of this node.
     *
     * @return the incarnation
     */
    Incarnation incarnation();

    /**
     * Returns the epoch in which new run tokens are issued.
     *
     * @return the current epoch
     */
    Epoch epoch();
}
