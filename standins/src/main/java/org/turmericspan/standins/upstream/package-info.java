/** Stand-in for the upstreams: slots, cold start, load reports, and a witness of all that ran. */
package org.turmericspan.standins.upstream;
