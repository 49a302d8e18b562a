/** Stand-in for the platform: values that can be read and watched, with lag, staleness and outage at will. */
package org.turmericspan.standins.platform;
