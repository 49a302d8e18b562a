/** Runs a fleet of separate processes on loopback for tests, the benchmark and the demo. */
package org.turmericspan.standins.fleet;
