/** The accepted view of VMs, the active configuration, and the rules by which newer versions replace them. */
package org.turmericspan.membership;
