/** Takes a call from its arrival through its attempts to its result. */
package org.turmericspan.dispatch;
