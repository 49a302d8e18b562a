/**
 * Carries out calls, each of which is one request of a caller: its attempts on upstreams (the first one, retries and
 * hedges), and isolated trials of requests that are suspected of crashing upstreams.
 */
package org.turmericspan.dispatch;
