package org.turmericspan.entry;

import java.time.Duration;

/**
 * Size of a fleet, and what its operators have agreed on for configurations.
 *
 * @param size number of nodes
 * @param zones number of availability zones
 * @param apply time after its confirmation within which a configuration is in force on each node in touch
 * @param contact time without a disturbance after which a node, or the store, counts again
 */
record FleetShape(int size, int zones, Duration apply, Duration contact) {}
