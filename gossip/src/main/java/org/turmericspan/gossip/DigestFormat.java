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

/**
 * Encodes digests with the primitives of protobuf. Times travel as ages in milliseconds, because nodes share no clock.
 */
final class DigestFormat {
    private static final int FORMAT = 1;
    private static final int READY = 1;
    private static final int LEAVING = 2;
    private static final int READING = 4;
    private static final int HEALTHY = 1;
    private static final int REACHABLE = 2;
    private static final int MAX_ROWS = 4_096;
    private static final int OCTETS = 4;
    private static final int OCTET_BITS = 8;
    private static final int OCTET_MASK = 0xff;
    private static final int DECIMAL = 10;
    /** Text of the addresses seen, which come again in every digest. */
    private static final Map<Integer, String> HOSTS = new ConcurrentHashMap<>();

    private DigestFormat() {}

    static byte[] write(Digest digest, long nowNanos) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream output = CodedOutputStream.newInstance(bytes);
        try {
            output.writeUInt32NoTag(FORMAT);
            writeMembers(digest.members(), output, nowNanos);
            writeReports(digest.reports(), output, nowNanos);
            output.writeUInt32NoTag(digest.crashes().size());
            for (Crash crash : digest.crashes()) {
                output.writeFixed64NoTag(crash.fingerprint());
                output.writeFixed64NoTag(crash.upstreamHash());
            }
            output.flush();
        } catch (IOException e) {
            throw new IllegalStateException("A byte array does not fail", e);
        }
        return bytes.toByteArray();
    }

    private static void writeMembers(List<Member> members, CodedOutputStream output, long nowNanos) throws IOException {
        List<AvailabilityZoneId> zones =
                members.stream().map(Member::availabilityZone).distinct().toList();
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
            output.writeUInt32NoTag(flags(member));
            output.writeUInt64NoTag(age(member.heardNanos(), nowNanos));
        }
    }

    private static int flags(Member member) {
        return (member.ready() ? READY : 0) | (member.leaving() ? LEAVING : 0) | (member.reading() ? READING : 0);
    }

    private static void writeReports(List<PeerReport> reports, CodedOutputStream output, long nowNanos)
            throws IOException {
        output.writeUInt32NoTag(reports.size());
        for (PeerReport report : reports) {
            Observation observation = report.observation();
            output.writeFixed64NoTag(report.upstreamHash());
            output.writeUInt64NoTag(age(observation.atNanos(), nowNanos));
            output.writeUInt32NoTag(observation.running());
            output.writeUInt32NoTag(observation.waiting());
            output.writeUInt32NoTag(observation.slowdownPercent());
            output.writeUInt64NoTag(TimeUnit.NANOSECONDS.toMillis(observation.coldRemainingNanos()));
            output.writeUInt32NoTag((observation.healthy() ? HEALTHY : 0) | (observation.reachable() ? REACHABLE : 0));
            output.writeUInt32NoTag(report.inFlight());
            output.writeUInt32NoTag(report.failurePercent());
        }
    }

    /** Reads a digest. Whoever sends garbage gets an {@link IOException} and changes nothing. */
    static Digest read(byte[] bytes, long nowNanos) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        if (input.readUInt32() != FORMAT) {
            throw new IOException("unknown format");
        }
        try {
            List<Member> members = readMembers(input, nowNanos);
            List<PeerReport> reports = readReports(input, nowNanos);
            List<Crash> crashes = new ArrayList<>();
            int count = rows(input);
            for (int i = 0; i < count; i++) {
                crashes.add(new Crash(input.readFixed64(), input.readFixed64()));
            }
            return new Digest(members, reports, crashes);
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException("field out of range", e);
        }
    }

    private static List<Member> readMembers(CodedInputStream input, long nowNanos) throws IOException {
        List<AvailabilityZoneId> zones = new ArrayList<>();
        int zoneCount = rows(input);
        for (int i = 0; i < zoneCount; i++) {
            zones.add(new AvailabilityZoneId(input.readString()));
        }
        List<Member> members = new ArrayList<>();
        int count = rows(input);
        for (int i = 0; i < count; i++) {
            SocketAddress address = readAddress(input);
            SocketAddress callerAddress = readAddress(input);
            AvailabilityZoneId zone = zones.get(input.readUInt32());
            int incarnation = input.readFixed32();
            int flags = input.readUInt32();
            long heardNanos = moment(input.readUInt64(), nowNanos);
            members.add(new Member(
                    address,
                    callerAddress,
                    zone,
                    incarnation,
                    (flags & READY) != 0,
                    (flags & LEAVING) != 0,
                    (flags & READING) != 0,
                    heardNanos));
        }
        if (members.isEmpty()) {
            throw new IOException("no sender");
        }
        return members;
    }

    private static List<PeerReport> readReports(CodedInputStream input, long nowNanos) throws IOException {
        List<PeerReport> reports = new ArrayList<>();
        int count = rows(input);
        for (int i = 0; i < count; i++) {
            long hash = input.readFixed64();
            long atNanos = moment(input.readUInt64(), nowNanos);
            int running = input.readUInt32();
            int waiting = input.readUInt32();
            int slowPercent = input.readUInt32();
            long coldNanos = TimeUnit.MILLISECONDS.toNanos(input.readUInt64());
            int flags = input.readUInt32();
            Observation observation = new Observation(
                    atNanos,
                    running,
                    waiting,
                    slowPercent,
                    coldNanos,
                    (flags & HEALTHY) != 0,
                    (flags & REACHABLE) != 0);
            reports.add(new PeerReport(hash, observation, input.readUInt32(), input.readUInt32()));
        }
        return reports;
    }

    private static int rows(CodedInputStream input) throws IOException {
        int count = input.readUInt32();
        if (count < 0 || count > MAX_ROWS) {
            throw new IOException("too many rows");
        }
        return count;
    }

    /** Returns an age in milliseconds, rounded up so that passing knowledge on never makes it look newer. */
    private static long age(long atNanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - atNanos)) + 1;
    }

    private static long moment(long ageMillis, long nowNanos) {
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
                packed = packed << OCTET_BITS | octet;
                octet = 0;
            } else {
                octet = octet * DECIMAL + character - '0';
            }
        }
        return packed << OCTET_BITS | octet;
    }

    private static SocketAddress readAddress(CodedInputStream input) throws IOException {
        int packed = input.readFixed32();
        String host = HOSTS.get(packed);
        if (host == null) {
            host = unpack(packed);
            if (HOSTS.size() < MAX_ROWS) {
                HOSTS.put(packed, host);
            }
        }
        return new SocketAddress(host, input.readUInt32());
    }

    private static String unpack(int packed) {
        StringBuilder host = new StringBuilder();
        for (int i = OCTETS - 1; i >= 0; i--) {
            host.append(packed >> i * OCTET_BITS & OCTET_MASK).append(i > 0 ? "." : "");
        }
        return host.toString();
    }
}
