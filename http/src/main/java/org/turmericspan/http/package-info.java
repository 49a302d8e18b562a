/** HTTP/1.1 server and client with strict rules for the reuse and closing of connections. */
package org.turmericspan.http;
