package org.turmericspan.peer;

/** Counts the traffic of the links. Called by the event loop threads. */
public interface PeerTraffic {
    /** Counter that ignores all traffic. */
    PeerTraffic NO_OP = new PeerTraffic() {
        @Override
        public void sent(int bytes) {}

        @Override
        public void received(int bytes) {}
    };

    /**
     * Counts a frame that was sent.
     *
     * @param bytes size of the frame including its length prefix
     */
    void sent(int bytes);

    /**
     * Counts a frame that was received.
     *
     * @param bytes size of the frame including its length prefix
     */
    void received(int bytes);
}
