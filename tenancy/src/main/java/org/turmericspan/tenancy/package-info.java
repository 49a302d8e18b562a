/** Who is calling: tenants, their keys, caps and priorities, and the check of a presented key. */
package org.turmericspan.tenancy;
