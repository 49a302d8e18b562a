/** Typed messages between nodes and the interface of the links, independent of any encoding. */
package org.turmericspan.messages;
