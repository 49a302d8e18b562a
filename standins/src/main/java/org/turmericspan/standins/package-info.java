/** Stand-ins for the platform, the upstreams and the network between them. Never shipped. */
package org.turmericspan.standins;
