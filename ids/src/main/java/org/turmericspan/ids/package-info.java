/** Value types for identifiers and addresses, a hash that is the same on all nodes, and the monotonic clock. */
package org.turmericspan.ids;
