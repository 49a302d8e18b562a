package org.turmericspan.gossip;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.CrashSuspects.Crash;
import org.turmericspan.balancing.Observation;
import org.turmericspan.balancing.PeerReport;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.zones.ZoneSummary;

/**
 * Encodes and decodes gossip messages with the primitives of protobuf. Times are sent as ages in milliseconds, because
 * nodes do not share a clock.
 */
final class GossipCodec {
    private static final int FORMAT_VERSION = 1;
    private static final int MEMBER_READY = 1;
    private static final int MEMBER_LEAVING = 2;
    private static final int MEMBER_READS_STORE = 4;
    /** Flag of the first member, which earlier versions ignore: the state of the sender's replica ends the message. */
    private static final int SENDER_TELLS_REPLICA = 8;

    /** Flag of the first member, which earlier versions ignore: a summary of demand and room ends the message. */
    private static final int SENDER_TELLS_ZONES = 16;
    /** Flag of the first member, which earlier versions ignore: the eras and the version of its replica end it. */
    private static final int SENDER_TELLS_ERAS = 32;

    private static final int REPORT_HEALTHY = 1;
    private static final int REPORT_REACHABLE = 2;
    /** Maximum length of a list in a message, and maximum size of the cache of hosts. */
    private static final int MAX_ENTRIES = 4_096;

    private static final int OCTETS_PER_ADDRESS = 4;
    private static final int BITS_PER_OCTET = 8;
    private static final int OCTET_MASK = 0xff;
    private static final int DECIMAL_BASE = 10;
    /** Cache of decoded hosts by packed IPv4 address, since every message repeats them; bounded in size. */
    private static final Map<Integer, String> HOSTS_BY_PACKED_ADDRESS = new ConcurrentHashMap<>();

    private GossipCodec() {}

    static byte[] encode(GossipMessage message, long nowNanos) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream output = CodedOutputStream.newInstance(bytes);
        try {
            output.writeUInt32NoTag(FORMAT_VERSION);
            List<AvailabilityZoneId> zones = zonesOf(message.members());
            writeMembers(message, zones, output, nowNanos);
            writeReports(message.reports(), output, nowNanos);
            output.writeUInt32NoTag(message.crashes().size());
            for (Crash crash : message.crashes()) {
                output.writeFixed64NoTag(crash.fingerprint());
                output.writeFixed64NoTag(crash.upstreamHash());
            }
            writeReplica(message.replica(), output);
            if (!message.zones().isEmpty()) {
                ZoneSummaryCodec.write(message.zones(), zones, output, nowNanos);
            }
            if (tellsEras(message.replica())) {
                writeEras(message.replica(), output);
            }
            output.flush();
        } catch (IOException e) {
            throw new IllegalStateException("Writing to a byte array failed", e);
        }
        return bytes.toByteArray();
    }

    private static List<AvailabilityZoneId> zonesOf(List<Member> members) {
        return members.stream().map(Member::availabilityZone).distinct().toList();
    }

    private static void writeMembers(
            GossipMessage message, List<AvailabilityZoneId> zones, CodedOutputStream output, long nowNanos)
            throws IOException {
        List<Member> members = message.members();
        int senderFlags = SENDER_TELLS_REPLICA
                | (tellsEras(message.replica()) ? SENDER_TELLS_ERAS : 0)
                | (message.zones().isEmpty() ? 0 : SENDER_TELLS_ZONES);
        output.writeUInt32NoTag(zones.size());
        for (AvailabilityZoneId zone : zones) {
            output.writeStringNoTag(zone.value());
        }
        output.writeUInt32NoTag(members.size());
        for (Member member : members) {
            writeAddress(member.address(), output);
            writeAddress(member.callerAddress(), output);
            output.writeUInt32NoTag(zones.indexOf(member.availabilityZone()));
            output.writeFixed32NoTag(member.incarnation());
            output.writeUInt32NoTag(flags(member) | (member == members.get(0) ? senderFlags : 0));
            output.writeUInt64NoTag(ageMillis(member.heardNanos(), nowNanos));
        }
    }

    private static int flags(Member member) {
        return (member.ready() ? MEMBER_READY : 0)
                | (member.leaving() ? MEMBER_LEAVING : 0)
                | (member.reading() ? MEMBER_READS_STORE : 0);
    }

    private static void writeReports(List<PeerReport> reports, CodedOutputStream output, long nowNanos)
            throws IOException {
        output.writeUInt32NoTag(reports.size());
        for (PeerReport report : reports) {
            Observation observation = report.observation();
            output.writeFixed64NoTag(report.upstreamHash());
            output.writeUInt64NoTag(ageMillis(observation.atNanos(), nowNanos));
            output.writeUInt32NoTag(observation.running());
            output.writeUInt32NoTag(observation.waiting());
            output.writeUInt32NoTag(observation.slowdownPercent());
            output.writeUInt64NoTag(TimeUnit.NANOSECONDS.toMillis(observation.coldRemainingNanos()));
            output.writeUInt32NoTag(
                    (observation.healthy() ? REPORT_HEALTHY : 0) | (observation.reachable() ? REPORT_REACHABLE : 0));
            output.writeUInt32NoTag(report.inFlight());
            output.writeUInt32NoTag(report.failurePercent());
        }
    }

    /** Decodes a message. Malformed bytes cause an {@link IOException}, and nothing of them is applied. */
    static GossipMessage decode(byte[] bytes, long nowNanos) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        if (input.readUInt32() != FORMAT_VERSION) {
            throw new IOException("unknown format version");
        }
        try {
            DecodedMembers decoded = readMembers(input, nowNanos);
            List<PeerReport> reports = readReports(input, nowNanos);
            List<Crash> crashes = new ArrayList<>();
            int count = readCount(input);
            for (int i = 0; i < count; i++) {
                crashes.add(new Crash(input.readFixed64(), input.readFixed64()));
            }
            ReplicaState replica = decoded.tells(SENDER_TELLS_REPLICA) ? readReplica(input) : ReplicaState.NONE;
            ZoneSummary zones = decoded.tells(SENDER_TELLS_ZONES)
                    ? ZoneSummaryCodec.read(input, decoded.zones(), nowNanos)
                    : ZoneSummary.NONE;
            ReplicaState replicaInEra = decoded.tells(SENDER_TELLS_ERAS) ? readEras(input, replica) : replica;
            return new GossipMessage(decoded.members(), reports, crashes, replicaInEra, zones);
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException("field out of range", e);
        }
    }

    private static DecodedMembers readMembers(CodedInputStream input, long nowNanos) throws IOException {
        List<AvailabilityZoneId> zones = new ArrayList<>();
        int zoneCount = readCount(input);
        for (int i = 0; i < zoneCount; i++) {
            zones.add(new AvailabilityZoneId(input.readString()));
        }
        List<Member> members = new ArrayList<>();
        int senderFlags = 0;
        int count = readCount(input);
        for (int i = 0; i < count; i++) {
            SocketAddress address = readAddress(input);
            SocketAddress callerAddress = readAddress(input);
            AvailabilityZoneId zone = zones.get(input.readUInt32());
            int incarnation = input.readFixed32();
            int flags = input.readUInt32();
            long heardNanos = timeNanos(input.readUInt64(), nowNanos);
            senderFlags = i == 0 ? flags : senderFlags;
            members.add(new Member(
                    address,
                    callerAddress,
                    zone,
                    incarnation,
                    (flags & MEMBER_READY) != 0,
                    (flags & MEMBER_LEAVING) != 0,
                    (flags & MEMBER_READS_STORE) != 0,
                    heardNanos));
        }
        if (members.isEmpty()) {
            throw new IOException("no member entry for the sender");
        }
        return new DecodedMembers(members, zones, senderFlags);
    }

    private static List<PeerReport> readReports(CodedInputStream input, long nowNanos) throws IOException {
        List<PeerReport> reports = new ArrayList<>();
        int count = readCount(input);
        for (int i = 0; i < count; i++) {
            long upstreamHash = input.readFixed64();
            long observedNanos = timeNanos(input.readUInt64(), nowNanos);
            int running = input.readUInt32();
            int waiting = input.readUInt32();
            int slowdownPercent = input.readUInt32();
            long coldRemainingNanos = TimeUnit.MILLISECONDS.toNanos(input.readUInt64());
            int flags = input.readUInt32();
            Observation observation = new Observation(
                    observedNanos,
                    running,
                    waiting,
                    slowdownPercent,
                    coldRemainingNanos,
                    (flags & REPORT_HEALTHY) != 0,
                    (flags & REPORT_REACHABLE) != 0);
            reports.add(new PeerReport(upstreamHash, observation, input.readUInt32(), input.readUInt32()));
        }
        return reports;
    }

    private static void writeReplica(ReplicaState replica, CodedOutputStream output) throws IOException {
        output.writeUInt64NoTag(replica.changePosition().revision());
        output.writeUInt64NoTag(replica.listPosition().revision());
        output.writeUInt64NoTag(replica.confirmedAgeMillis());
    }

    private static ReplicaState readReplica(CodedInputStream input) throws IOException {
        StorePosition change = new StorePosition(0, input.readUInt64());
        StorePosition list = new StorePosition(0, input.readUInt64());
        long confirmedAgeMillis = input.readUInt64();
        if (confirmedAgeMillis < 0) {
            throw new IOException("negative age of a replica");
        }
        return new ReplicaState(change, list, confirmedAgeMillis, 0);
    }

    private static boolean tellsEras(ReplicaState replica) {
        return replica.era() > 0 || replica.configurationVersion() > 0;
    }

    /** Writes what earlier versions do not tell of a replica. */
    private static void writeEras(ReplicaState replica, CodedOutputStream output) throws IOException {
        output.writeUInt64NoTag(replica.changePosition().era());
        output.writeUInt64NoTag(replica.listPosition().era());
        output.writeUInt64NoTag(replica.configurationVersion());
        output.writeUInt64NoTag(replica.eraAgeMillis());
    }

    private static ReplicaState readEras(CodedInputStream input, ReplicaState replica) throws IOException {
        return new ReplicaState(
                new StorePosition(input.readUInt64(), replica.changePosition().revision()),
                new StorePosition(input.readUInt64(), replica.listPosition().revision()),
                replica.confirmedAgeMillis(),
                Math.max(0, input.readUInt64()),
                Math.max(0, input.readUInt64()));
    }

    private static int readCount(CodedInputStream input) throws IOException {
        int count = input.readUInt32();
        if (count < 0 || count > MAX_ENTRIES) {
            throw new IOException("too many entries");
        }
        return count;
    }

    /** Returns the age of a past time in milliseconds, rounded up so that relayed state does not look newer. */
    static long ageMillis(long pastNanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - pastNanos)) + 1;
    }

    private static long timeNanos(long ageMillis, long nowNanos) {
        return nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
    }

    private static void writeAddress(SocketAddress address, CodedOutputStream output) throws IOException {
        output.writeFixed32NoTag(pack(address.host()));
        output.writeUInt32NoTag(address.port());
    }

    private static int pack(String host) {
        int packed = 0;
        int octet = 0;
        for (int i = 0; i < host.length(); i++) {
            char character = host.charAt(i);
            if (character == '.') {
                packed = packed << BITS_PER_OCTET | octet;
                octet = 0;
            } else {
                octet = octet * DECIMAL_BASE + character - '0';
            }
        }
        return packed << BITS_PER_OCTET | octet;
    }

    private static SocketAddress readAddress(CodedInputStream input) throws IOException {
        int packed = input.readFixed32();
        String host = HOSTS_BY_PACKED_ADDRESS.get(packed);
        if (host == null) {
            host = unpack(packed);
            if (HOSTS_BY_PACKED_ADDRESS.size() < MAX_ENTRIES) {
                HOSTS_BY_PACKED_ADDRESS.put(packed, host);
            }
        }
        return new SocketAddress(host, input.readUInt32());
    }

    private static String unpack(int packed) {
        StringBuilder host = new StringBuilder();
        for (int i = OCTETS_PER_ADDRESS - 1; i >= 0; i--) {
            host.append(packed >> i * BITS_PER_OCTET & OCTET_MASK).append(i > 0 ? "." : "");
        }
        return host.toString();
    }

    /** Members of a message, their zones, and the flags of the first, which tell what ends the message. */
    private record DecodedMembers(List<Member> members, List<AvailabilityZoneId> zones, int senderFlags) {
        boolean tells(int flag) {
            return (senderFlags & flag) != 0;
        }
    }
}
