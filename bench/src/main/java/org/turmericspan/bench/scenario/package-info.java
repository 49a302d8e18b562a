/** The experiments, each in a class of its own. */
package org.turmericspan.bench.scenario;
