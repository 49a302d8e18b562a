/** Entry node on the users' platform: its startup, settings and metrics. */
package org.turmericspan.entry;
