/**
 * Decides whether received bytes are one whole response to the request. Independent of the library that decodes them.
 */
package org.turmericspan.integrity;
