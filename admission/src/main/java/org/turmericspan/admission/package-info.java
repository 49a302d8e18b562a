/** Bounded fair queue of slot requests, and admission control that denies requests that would miss their deadline. */
package org.turmericspan.admission;
