/** Follows a read-only store: full lists, watches, outages, and the local replica from which other nodes may read. */
package org.turmericspan.feed;
