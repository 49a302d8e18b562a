package org.turmericspan.forwarding;

import org.turmericspan.caps.CapGate;
import org.turmericspan.tenancy.KeyCheck;

/**
 * Decides which callers are served.
 *
 * @param keys identifies callers by their keys
 * @param caps charges requests to the caps of tenants
 */
public record CallerAccess(KeyCheck keys, CapGate caps) {}
