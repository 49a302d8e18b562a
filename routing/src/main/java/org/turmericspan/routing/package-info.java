/** Which node keeps an upstream, and which wish gets which slot. */
package org.turmericspan.routing;
