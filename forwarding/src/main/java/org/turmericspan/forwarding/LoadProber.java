package org.turmericspan.forwarding;

import org.turmericspan.balancing.Registration;

/** Asks upstreams for their load at this moment. What they say is found in the table of upstreams. */
@FunctionalInterface
public interface LoadProber {
    /**
     * Asks one upstream, or joins a question to it that is under way.
     *
     * @param upstream whom to ask
     * @param ended runs once, on any worker, when the upstream answered or failed, and at once when the budget of
     *     probes is spent
     */
    void probe(Registration upstream, Runnable ended);
}
