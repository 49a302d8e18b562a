package org.turmericspan.feed;

import org.turmericspan.ids.SocketAddress;

/**
 * Source from which a node reads the store's items.
 *
 * @param address address of the store or of the node that relays it
 * @param kind what is expected of the source
 */
public record StoreSource(SocketAddress address, Kind kind) {
    /** Kinds of sources, from the store down the tree of relays. */
    public enum Kind {
        /** The store itself. */
        STORE(-1),
        /** A node that must read the store itself. */
        STORE_READER(0),
        /** A node that reads the store itself or through a {@link #STORE_READER}. */
        ZONE_READER(1),
        /** A node that has changes which this one has not, wherever it has them from. */
        NODE_AHEAD(Integer.MAX_VALUE);

        private final int maxDistance;

        Kind(int maxDistance) {
            this.maxDistance = maxDistance;
        }

        /**
         * Returns how far from the store the source may be, so that no two nodes read from each other.
         *
         * @return greatest number of other nodes through which the source itself may read
         */
        public int maxDistance() {
            return maxDistance;
        }
    }

    /**
     * Returns whether the source is the store itself.
     *
     * @return false for a relay
     */
    public boolean isStore() {
        return kind == Kind.STORE;
    }

    // Explicit because a record's generated methods are linked at run time, which slows down startup.
    @Override
    public String toString() {
        return kind + " " + address;
    }
}
