/** Stand-in for the network between two processes, with faults that a test injects. */
package org.turmericspan.standins.network;
