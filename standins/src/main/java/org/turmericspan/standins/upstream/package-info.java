/** Stand-in for the upstreams, with slots, cold start and load reports; it counts the requests that ran. */
package org.turmericspan.standins.upstream;
