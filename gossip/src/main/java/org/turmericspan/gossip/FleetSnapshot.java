package org.turmericspan.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.turmericspan.balancing.Registration;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StableHash;
import org.turmericspan.ids.UpstreamId;

/** Immutable list of the nodes alive at one time, with caches of what is computed from it. */
final class FleetSnapshot {
    static final Comparator<Member> READER_ORDER =
            (first, second) -> Long.compare(readerHash(second), readerHash(first));

    private final List<Member> alive;
    private final Map<AvailabilityZoneId, List<Candidate>> eligibleByZone = new HashMap<>();

    private final List<Candidate> eligible = new ArrayList<>();
    private final Map<UpstreamId, Owner> owners = new ConcurrentHashMap<>();
    private final Map<AvailabilityZoneId, List<Member>> zoneReaders = new ConcurrentHashMap<>();
    private volatile List<Member> fleetReaders;

    FleetSnapshot(List<Member> alive) {
        this.alive = List.copyOf(alive);
        for (Member member : this.alive) {
            if (member.ready() && !member.leaving()) {
                Candidate candidate =
                        new Candidate(member, StableHash.of(member.address().toString()));
                eligible.add(candidate);
                eligibleByZone
                        .computeIfAbsent(member.availabilityZone(), zone -> new ArrayList<>())
                        .add(candidate);
            }
        }
    }

    List<Member> alive() {
        return alive;
    }

    boolean hasSameMembers(List<Member> others) {
        if (others.size() != alive.size()) {
            return false;
        }
        for (int i = 0; i < others.size(); i++) {
            if (!alive.get(i).equalsIgnoringHeardNanos(others.get(i))) {
                return false;
            }
        }
        return true;
    }

    private static long readerHash(Member member) {
        return StableHash.of("reader/" + member.address());
    }

    List<Member> zoneReaders(AvailabilityZoneId zone) {
        return zoneReaders.computeIfAbsent(
                zone,
                key -> eligibleByZone.getOrDefault(key, List.of()).stream()
                        .map(Candidate::member)
                        .sorted(READER_ORDER)
                        .toList());
    }

    List<Member> fleetReaders() {
        if (fleetReaders == null) {
            List<Member> first = new ArrayList<>();
            eligibleByZone.keySet().forEach(zone -> first.add(zoneReaders(zone).get(0)));
            first.sort(READER_ORDER);
            fleetReaders = List.copyOf(first);
        }
        return fleetReaders;
    }

    /** Returns the address of the owner; null when no node is ready. */
    SocketAddress owner(Registration registration) {
        AvailabilityZoneId zone = registration.availabilityZone();
        Owner owner = owners.get(registration.id());
        if (owner == null || !owner.zone().equals(zone)) {
            owner = new Owner(zone, chooseOwner(registration));
            owners.put(registration.id(), owner);
        }
        return owner.address();
    }

    private SocketAddress chooseOwner(Registration registration) {
        long upstreamHash = StableHash.of(registration.id().value());
        SocketAddress best = null;
        long bestHash = 0;
        for (Candidate candidate : eligibleByZone.getOrDefault(registration.availabilityZone(), eligible)) {
            long hash = StableHash.combine(upstreamHash, candidate.hash());
            if (best == null || hash > bestHash) {
                best = candidate.member().address();
                bestHash = hash;
            }
        }
        return best;
    }

    /** The owner of an upstream of a zone; its address is null when no node is ready. */
    private record Owner(AvailabilityZoneId zone, SocketAddress address) {}

    /** A node that may own upstreams, with the hash of its address. */
    private record Candidate(Member member, long hash) {}
}
