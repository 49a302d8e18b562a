/** The accepted view of VMs, the accepted configuration, and the rules by which they move up. */
package org.turmericspan.membership;
