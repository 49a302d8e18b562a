package org.turmericspan.entry;

import java.util.List;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.gossip.Member;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.zones.LocalZone;
import org.turmericspan.zones.ServiceRoom;

/** Availability zone of this node, from the upstreams and the nodes that it knows. */
final class FleetZone implements LocalZone {
    private final UpstreamTable upstreams;
    private final MemberTable members;

    FleetZone(UpstreamTable upstreams, MemberTable members) {
        this.upstreams = upstreams;
        this.members = members;
    }

    @Override
    public List<ServiceRoom> rooms() {
        return upstreams.localRooms();
    }

    @Override
    public int nodes() {
        int nodes = 0;
        for (Member member : members.aliveMembers()) {
            nodes += member.availabilityZone().equals(members.self().availabilityZone()) ? 1 : 0;
        }
        return nodes;
    }
}
