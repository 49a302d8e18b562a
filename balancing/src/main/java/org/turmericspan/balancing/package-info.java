/**
 * Decisions of the entry nodes: routes, beliefs about upstreams, choice, cold starts, repeat budgets and crash
 * suspects.
 */
package org.turmericspan.balancing;
