package org.turmericspan.ids;

/**
 * Identifier of a slot lease, unique across all incarnations of all nodes.
 *
 * @param keeper incarnation of the owner of the upstream that granted the lease
 * @param sequence number that this owner increments with each lease
 */
public record LeaseId(Incarnation keeper, long sequence) {
    @Override
    public String toString() {
        return keeper + "/" + sequence;
    }
}
