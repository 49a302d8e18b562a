/** Follows a store that can only be read: whole readings, watches, outages, and what other nodes may read from here. */
package org.turmericspan.feed;
