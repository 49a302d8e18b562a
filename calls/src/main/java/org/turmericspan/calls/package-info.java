/** A call, its answer and the narrow interfaces it passes through, free of any encoding. */
package org.turmericspan.calls;
