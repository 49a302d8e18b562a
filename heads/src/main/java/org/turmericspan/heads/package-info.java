/** Applies the syntax of response heads to the responses that OkHttp reads. */
package org.turmericspan.heads;
