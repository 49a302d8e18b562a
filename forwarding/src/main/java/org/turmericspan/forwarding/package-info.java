/** Takes a request through its attempts to its one answer. */
package org.turmericspan.forwarding;
