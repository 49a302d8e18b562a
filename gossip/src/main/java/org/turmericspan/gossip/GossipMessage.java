package org.turmericspan.gossip;

import java.util.List;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.PeerReport;
import org.turmericspan.zones.ZoneSummary;

/**
 * Message by which a node reports to another what it knows of nodes, upstreams and suspected crashes.
 *
 * @param members the sender, followed by other nodes that it knows
 * @param reports the sender's reports of upstreams
 * @param crashes crashes of upstreams, each with the request suspected of causing it
 * @param replica state of the sender's replica of the store
 * @param zones what the sender tells of demand and room; nothing if it does not share work between zones
 */
public record GossipMessage(
        List<Member> members,
        List<PeerReport> reports,
        List<CrashSuspects.Crash> crashes,
        ReplicaState replica,
        ZoneSummary zones) {
    /** Makes immutable copies of the lists. */
    public GossipMessage {
        members = List.copyOf(members);
        reports = List.copyOf(reports);
        crashes = List.copyOf(crashes);
    }

    /**
     * Creates a message that tells nothing of demand and room.
     *
     * @param members the sender, followed by other nodes that it knows
     * @param reports the sender's reports of upstreams
     * @param crashes crashes of upstreams, each with the request suspected of causing it
     * @param replica state of the sender's replica of the store
     */
    public GossipMessage(
            List<Member> members, List<PeerReport> reports, List<CrashSuspects.Crash> crashes, ReplicaState replica) {
        this(members, reports, crashes, replica, ZoneSummary.NONE);
    }
}
