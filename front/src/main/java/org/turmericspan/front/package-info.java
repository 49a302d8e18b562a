/** HTTP front end towards callers and operators. It decodes and encodes, and decides nothing. */
package org.turmericspan.front;
