package org.turmericspan.zones;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;

/** Exchanges demand and room with the other nodes, at the pace of their messages. */
public interface ZoneExchange {
    /** Decides anew; called once a round, before the messages of the round. */
    void refresh();

    /**
     * Returns what this node tells the others.
     *
     * @return the summary; {@link ZoneSummary#NONE} when it tells nothing
     */
    ZoneSummary summary();

    /**
     * Records what another node tells.
     *
     * @param node address of the node
     * @param zone zone of the node
     * @param summary its summary
     */
    void receive(SocketAddress node, AvailabilityZoneId zone, ZoneSummary summary);

    /**
     * Returns an exchange that tells nothing and ignores what others tell.
     *
     * @return the exchange of a node without zone sharing
     */
    static ZoneExchange none() {
        return new ZoneExchange() {
            @Override
            public void refresh() {}

            @Override
            public ZoneSummary summary() {
                return ZoneSummary.NONE;
            }

            @Override
            public void receive(SocketAddress node, AvailabilityZoneId zone, ZoneSummary summary) {}
        };
    }
}
