/**
 * Netty handlers, listening sockets and logging that avoid two causes of slow start-up: reading annotations at run
 * time and the JDK's log manager.
 */
package org.turmericspan.transport;
