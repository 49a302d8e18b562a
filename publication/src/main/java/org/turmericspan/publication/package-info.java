/** Reads what operators publish through the project's own interface, for the node binary. */
package org.turmericspan.publication;
