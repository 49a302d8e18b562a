/** The entry node on the users' platform. */
package org.turmericspan.entry;
