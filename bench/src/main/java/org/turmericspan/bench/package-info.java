/** Load and experiment tool: every scenario runs real processes on loopback and prints the measured values. */
package org.turmericspan.bench;
