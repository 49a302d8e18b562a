package org.turmericspan.runs;

import org.turmericspan.ids.RunToken;

/** Remembers run tokens whose request was refused as not run, so that a late copy of it cannot run after all. */
interface RefusedTokens {
    /**
     * Adds a token.
     *
     * @param token token of a refused request
     */
    void add(RunToken token);

    /**
     * Tells whether a token may have been added.
     *
     * @param token token of a request that is not in the table
     * @return true for every token that was added; seldom true for another
     */
    boolean mayContain(RunToken token);
}
