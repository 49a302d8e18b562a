/** Bounded fair queue of slot requests, and admission control that denies requests expected to miss their deadline. */
package org.turmericspan.admission;
