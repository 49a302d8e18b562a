package org.turmericspan.ids;

/**
 * Identifier of a slot lease, unique over all lives of all keepers.
 *
 * @param keeper incarnation of the keeper that granted the lease
 * @param sequence counted up by that keeper
 */
public record LeaseId(Incarnation keeper, long sequence) {
    @Override
    public String toString() {
        return keeper + "/" + sequence;
    }
}
