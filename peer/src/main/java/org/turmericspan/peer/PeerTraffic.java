package org.turmericspan.peer;

/** Counts what passes over the links. Called on the network threads. */
public interface PeerTraffic {
    /** Counter that counts nothing. */
    PeerTraffic IGNORED = new PeerTraffic() {
        @Override
        public void sent(int bytes) {}

        @Override
        public void received(int bytes) {}
    };

    /**
     * Counts a frame that was sent.
     *
     * @param bytes its size with the length before it
     */
    void sent(int bytes);

    /**
     * Counts a frame that was received.
     *
     * @param bytes its size with the length before it
     */
    void received(int bytes);
}
