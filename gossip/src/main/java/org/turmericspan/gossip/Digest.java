package org.turmericspan.gossip;

import java.util.List;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.PeerReport;

/**
 * What one node tells another.
 *
 * @param members nodes it knows of, itself first
 * @param reports what it knows of upstreams
 * @param crashes requests that took upstreams down
 */
public record Digest(List<Member> members, List<PeerReport> reports, List<CrashSuspects.Crash> crashes) {
    /** Copies the lists. */
    public Digest {
        members = List.copyOf(members);
        reports = List.copyOf(reports);
        crashes = List.copyOf(crashes);
    }
}
