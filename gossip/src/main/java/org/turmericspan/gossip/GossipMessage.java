package org.turmericspan.gossip;

import java.util.List;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.PeerReport;

/**
 * Message by which a node reports to another what it knows of nodes, upstreams and suspected crashes.
 *
 * @param members the sender, followed by other nodes that it knows
 * @param reports the sender's reports of upstreams
 * @param crashes crashes of upstreams, each with the request suspected of causing it
 * @param replica state of the sender's replica of the store
 */
public record GossipMessage(
        List<Member> members, List<PeerReport> reports, List<CrashSuspects.Crash> crashes, ReplicaState replica) {
    /** Makes immutable copies of the lists. */
    public GossipMessage {
        members = List.copyOf(members);
        reports = List.copyOf(reports);
        crashes = List.copyOf(crashes);
    }
}
