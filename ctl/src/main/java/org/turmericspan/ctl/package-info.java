/** The binary {@code turmericspanctl}: checks, bundles and compares configurations, and reads the state of nodes. */
package org.turmericspan.ctl;
