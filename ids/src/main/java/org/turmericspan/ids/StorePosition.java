package org.turmericspan.ids;

/**
 * Position in the history of the store. Revisions rise within an era; a store that is restored from an older copy
 * begins the next era, in which it gives out the revisions after that copy again. Positions are therefore ordered by
 * era first.
 *
 * @param era number of times that the store was restored, as it tells; 0 for a store that does not tell
 * @param revision revision of the store within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** Position before all others. */
    public static final StorePosition START = new StorePosition(0, 0);

    /** Checks the range. */
    public StorePosition {
        if (era < 0 || revision < 0) {
            throw new IllegalArgumentException("negative position: " + era + "/" + revision);
        }
    }

    @Override
    public int compareTo(StorePosition other) {
        return era == other.era ? Long.compare(revision, other.revision) : Long.compare(era, other.era);
    }

    /**
     * Returns whether this position is later than another.
     *
     * @param other the other position
     * @return false also when both are equal
     */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns whether this position belongs to a later era than another.
     *
     * @param other the other position
     * @return false within one era
     */
    public boolean isInLaterEra(StorePosition other) {
        return era > other.era;
    }

    /**
     * Returns the later of two positions.
     *
     * @param other the other position
     * @return this position when both are equal
     */
    public StorePosition max(StorePosition other) {
        return other.isAfter(this) ? other : this;
    }

    /**
     * Returns the earlier of two positions.
     *
     * @param other the other position
     * @return this position when both are equal
     */
    public StorePosition min(StorePosition other) {
        return isAfter(other) ? other : this;
    }

    // Explicit because a record's generated methods are linked at run time, which slows down startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof StorePosition that && era == that.era && revision == that.revision;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(era) * 31 + Long.hashCode(revision);
    }

    @Override
    public String toString() {
        return era + "/" + revision;
    }
}
