package org.turmericspan.gossip;

import java.util.List;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.PeerReport;

/**
 * State that one node sends to another.
 *
 * @param members the sender, followed by other nodes that it knows
 * @param reports the sender's reports of upstreams
 * @param crashes crashes of upstreams, each with the request suspected of causing it
 */
public record GossipMessage(List<Member> members, List<PeerReport> reports, List<CrashSuspects.Crash> crashes) {
    /** Copies the lists. */
    public GossipMessage {
        members = List.copyOf(members);
        reports = List.copyOf(reports);
        crashes = List.copyOf(crashes);
    }
}
