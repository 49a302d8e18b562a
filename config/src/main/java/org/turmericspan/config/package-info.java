/** Configuration objects, the checks over the whole set, and the total order of published configurations. */
package org.turmericspan.config;
