/** Bounded fair queue of waiting requests, and the early refusal of what cannot make its deadline. */
package org.turmericspan.admission;
