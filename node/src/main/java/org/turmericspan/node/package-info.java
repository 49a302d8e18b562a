/** The node program: settings, Dagger wiring, state dump, start and planned stop. */
package org.turmericspan.node;
