/** HTTP front end for callers and operators. It decodes requests and encodes responses, and makes no decisions. */
package org.turmericspan.front;
