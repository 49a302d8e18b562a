/** Starts a whole fleet of real processes on loopback for tests, the bench and the demo. */
package org.turmericspan.standins.fleet;
