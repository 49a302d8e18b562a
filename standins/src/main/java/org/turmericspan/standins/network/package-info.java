/** Stand-in for the network between two processes, with faults at will. */
package org.turmericspan.standins.network;
