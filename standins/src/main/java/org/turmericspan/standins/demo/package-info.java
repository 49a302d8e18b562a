/** The demonstration: a small fleet on loopback that serves while an availability zone leaves and returns. */
package org.turmericspan.standins.demo;
