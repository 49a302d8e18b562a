/** The node: its settings, its wiring and its life from start to planned stop. */
package org.turmericspan.node;
