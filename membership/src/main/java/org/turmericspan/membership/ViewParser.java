package org.turmericspan.membership;

/** Parses the list of VMs that the platform publishes. */
@FunctionalInterface
public interface ViewParser {
    /**
     * Parses a list.
     *
     * @param revision revision of the list
     * @param text the list as published
     * @return the VMs of the list as a view with the given revision
     * @throws org.turmericspan.errors.BalancerException when the list is malformed
     */
    FleetView parse(long revision, String text);
}
