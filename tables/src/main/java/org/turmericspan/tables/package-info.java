/** Ranked locks that guard the shared tables, and the pool of worker threads that use them. */
package org.turmericspan.tables;
