/** Numbered result codes and the unchecked exception that carries them. */
package org.turmericspan.errors;
