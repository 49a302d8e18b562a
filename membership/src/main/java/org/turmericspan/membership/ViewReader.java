package org.turmericspan.membership;

/** Reads the published list of VMs. */
@FunctionalInterface
public interface ViewReader {
    /**
     * Reads a list.
     *
     * @param revision revision of the list
     * @param text the list as the platform holds it
     * @return the view
     * @throws org.turmericspan.errors.BalancerException when the list has another form
     */
    FleetView read(long revision, String text);
}
