/** Calls, their results and the interfaces that handle them, independent of any encoding. */
package org.turmericspan.calls;
