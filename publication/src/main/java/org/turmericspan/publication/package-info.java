/** Reads what operators publish through the project's own platform interface, for the node binary. */
package org.turmericspan.publication;
