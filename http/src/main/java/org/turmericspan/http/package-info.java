/** HTTP/1.1 server and client with exact connection life. */
package org.turmericspan.http;
