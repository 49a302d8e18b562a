/** Ranked locks that guard the shared tables, and the pool of workers that use them. */
package org.turmericspan.tables;
