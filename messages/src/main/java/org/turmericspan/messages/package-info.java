/** Typed messages between nodes and the interface of the links, free of any encoding. */
package org.turmericspan.messages;
