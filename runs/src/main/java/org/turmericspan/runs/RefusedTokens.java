package org.turmericspan.runs;

import org.turmericspan.ids.RunToken;

/**
 * Set of run tokens whose request was refused as not run. A late copy of such a request, with the same token, must not
 * run after the caller was told so.
 */
interface RefusedTokens {
    /**
     * Adds a token.
     *
     * @param token token of a refused request
     */
    void add(RunToken token);

    /**
     * Returns whether a token may have been added.
     *
     * @param token token of a request that has no entry in the run table
     * @return true for every token that was added; rarely true for another
     */
    boolean mayContain(RunToken token);
}
