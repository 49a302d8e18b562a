/** Netty channels and log lines without what makes starts slow: annotations at run time, and the JDK log manager. */
package org.turmericspan.transport;
