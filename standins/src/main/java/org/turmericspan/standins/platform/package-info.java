/** Stand-in for the platform: values to be read and watched, with lag, staleness and outages that a test injects. */
package org.turmericspan.standins.platform;
