/** Decides how much of the work that the callers of a zone ask for leaves the zone, and to which zones. */
package org.turmericspan.zones;
