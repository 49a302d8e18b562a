/** Load and experiment tool: every scenario runs real processes on loopback and prints what it measured. */
package org.turmericspan.bench;
