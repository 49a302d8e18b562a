/** Value types for identifiers and the interfaces through which time is read. */
package org.turmericspan.ids;
