/** Demonstration: a small fleet on loopback serves while an availability zone is taken out of service and back in. */
package org.turmericspan.standins.demo;
