package org.turmericspan.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.zones.ServiceSummary;
import org.turmericspan.zones.ZoneReport;
import org.turmericspan.zones.ZoneSummary;

class ZoneSummaryCodecTest {
    private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(100);
    private static final int SENDER_TELLS_ZONES = 16;
    /** Bound on what the summary adds to a message: services and zones up to their maximum. */
    private static final int MAX_SUMMARY_BYTES = 2_560;

    private static AvailabilityZoneId zone(int number) {
        return new AvailabilityZoneId("zone-" + number);
    }

    private static Member member(int number) {
        return new Member(
                new SocketAddress("10.200.3." + number, 7_700),
                new SocketAddress("10.200.3." + number, 8_161),
                zone(number),
                -5,
                true,
                false,
                true,
                NOW_NANOS);
    }

    private static GossipMessage message(int zones, ZoneSummary summary) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < zones; i++) {
            members.add(member(i));
        }
        return new GossipMessage(
                members,
                List.of(),
                List.of(),
                new ReplicaState(new StorePosition(0, 700), new StorePosition(0, 300), 45, 0),
                summary);
    }

    private static ZoneSummary summary(int services, int zones) {
        List<ServiceSummary> summaries = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            List<ZoneReport> reports = new ArrayList<>();
            for (int j = 0; j < zones; j++) {
                long atNanos = NOW_NANOS - TimeUnit.MILLISECONDS.toNanos(300L * j);
                reports.add(new ZoneReport(zone(j), 12.345 + j, 1_000.5, atNanos));
            }
            summaries.add(new ServiceSummary(-7L - i, 3.21, reports));
        }
        return new ZoneSummary(summaries);
    }

    @Test
    void summaryIsUnchangedAfterEncodingAndDecodingButForRounding() throws IOException {
        byte[] bytes = GossipCodec.encode(message(3, summary(2, 3)), NOW_NANOS);
        ZoneSummary decoded = GossipCodec.decode(bytes, NOW_NANOS).zones();
        assertThat(decoded.services()).hasSize(2);
        ServiceSummary service = decoded.services().get(1);
        assertThat(service.serviceHash()).isEqualTo(-8);
        assertThat(service.ownDemandSlots()).isEqualTo(3.21);
        ZoneReport report = service.zones().get(2);
        assertThat(report.zone()).isEqualTo(zone(2));
        assertThat(report.demandSlots()).isCloseTo(14.345, within(0.006));
        assertThat(report.roomSlots()).isEqualTo(1_000.5);
        assertThat(NOW_NANOS - report.atNanos()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(601));
    }

    @Test
    void nothingIsSentWithoutASummary() {
        byte[] without = GossipCodec.encode(message(2, ZoneSummary.NONE), NOW_NANOS);
        byte[] with = GossipCodec.encode(message(2, summary(1, 2)), NOW_NANOS);
        int flags = indexOfSenderFlags(without);
        assertThat(without[flags] & SENDER_TELLS_ZONES).isZero();
        assertThat(with[flags] & SENDER_TELLS_ZONES).isNotZero();
        byte[] start = Arrays.copyOf(with, without.length);
        start[flags] &= ~SENDER_TELLS_ZONES;
        assertThat(start).isEqualTo(without);
    }

    /** Nodes of the version before do not know the flag and read the message up to the state of the replica. */
    @Test
    void nodesThatDoNotKnowTheFlagReadTheRest() throws IOException {
        byte[] bytes = GossipCodec.encode(message(2, summary(3, 2)), NOW_NANOS);
        bytes[indexOfSenderFlags(bytes)] &= ~SENDER_TELLS_ZONES;
        GossipMessage decoded = GossipCodec.decode(bytes, NOW_NANOS);
        assertThat(decoded.zones().isEmpty()).isTrue();
        assertThat(decoded.members()).hasSize(2);
        assertThat(decoded.replica())
                .isEqualTo(new ReplicaState(new StorePosition(0, 700), new StorePosition(0, 300), 45, 0));
    }

    private static int indexOfSenderFlags(byte[] bytes) {
        for (int i = 0; i + 4 < bytes.length; i++) {
            if (bytes[i] == -5 && bytes[i + 1] == -1 && bytes[i + 2] == -1 && bytes[i + 3] == -1) {
                return i + 4;
            }
        }
        throw new IllegalStateException("no incarnation");
    }

    @Test
    void largestSummaryIsBounded() {
        int without = GossipCodec.encode(message(ZoneSummary.MAX_ZONES, ZoneSummary.NONE), NOW_NANOS).length;
        ZoneSummary largest = summary(ZoneSummary.MAX_SERVICES, ZoneSummary.MAX_ZONES);
        int with = GossipCodec.encode(message(ZoneSummary.MAX_ZONES, largest), NOW_NANOS).length;
        assertThat(with - without).isLessThan(MAX_SUMMARY_BYTES);
    }

    @Test
    void reportOfAZoneWithoutMembersInTheMessageIsLeftOut() throws IOException {
        byte[] bytes = GossipCodec.encode(message(2, summary(1, 3)), NOW_NANOS);
        assertThat(GossipCodec.decode(bytes, NOW_NANOS)
                        .zones()
                        .services()
                        .get(0)
                        .zones())
                .extracting(ZoneReport::zone)
                .containsExactly(zone(0), zone(1));
    }

    @Test
    void malformedSummariesAreRejected() {
        byte[] bytes = GossipCodec.encode(message(2, summary(2, 2)), NOW_NANOS);
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThatThrownBy(() -> GossipCodec.decode(truncated, NOW_NANOS)).isInstanceOf(IOException.class);
        }
        SplittableRandom random = new SplittableRandom(46);
        for (int i = 0; i < 5_000; i++) {
            byte[] corrupted = bytes.clone();
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
            assertDecodedOrRejected(corrupted);
        }
    }

    private static void assertDecodedOrRejected(byte[] corrupted) {
        try {
            for (ServiceSummary service :
                    GossipCodec.decode(corrupted, NOW_NANOS).zones().services()) {
                for (ZoneReport report : service.zones()) {
                    assertThat(report.atNanos()).isLessThanOrEqualTo(NOW_NANOS);
                    assertThat(report.demandSlots()).isNotNegative();
                    assertThat(report.roomSlots()).isNotNegative();
                }
            }
        } catch (IOException e) {
            assertThat(e).isNotNull();
        }
    }
}
