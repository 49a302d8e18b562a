package org.turmericspan.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.zones.ServiceSummary;
import org.turmericspan.zones.ZoneReport;
import org.turmericspan.zones.ZoneSummary;

/** What nodes tell each other of the eras of their replicas, also beside nodes of an earlier version. */
class ReplicaEraCodecTest {
    private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(100);
    private static final int SENDER_TELLS_ERAS = 32;
    private static final ReplicaState RESTORED =
            new ReplicaState(new StorePosition(2, 700), new StorePosition(1, 300), 45, 78, 300);
    /** One byte each for the eras and the version, two for the age of the era. */
    private static final int ENCODED_ERAS_BYTES = 5;

    private static GossipMessage message(ReplicaState replica, ZoneSummary zones) {
        Member member = new Member(
                new SocketAddress("10.200.3.254", 7_700),
                new SocketAddress("10.200.3.254", 8_161),
                new AvailabilityZoneId("zone-a"),
                -5,
                true,
                false,
                true,
                NOW_NANOS);
        return new GossipMessage(List.of(member), List.of(), List.of(), replica, zones);
    }

    private static byte[] encode(ReplicaState replica) {
        return GossipCodec.encode(message(replica, ZoneSummary.NONE), NOW_NANOS);
    }

    /** Returns the index behind the incarnation of the first member, which is -5. */
    private static int indexOfSenderFlags(byte[] bytes) {
        for (int i = 0; i + 4 < bytes.length; i++) {
            if (bytes[i] == -5 && bytes[i + 1] == -1 && bytes[i + 2] == -1 && bytes[i + 3] == -1) {
                return i + 4;
            }
        }
        throw new IllegalStateException("no incarnation");
    }

    @Test
    void erasAndVersionAreUnchangedAfterEncodingAndDecoding() throws IOException {
        assertThat(GossipCodec.decode(encode(RESTORED), NOW_NANOS).replica()).isEqualTo(RESTORED);
        ReplicaState large = new ReplicaState(
                new StorePosition(Long.MAX_VALUE, Long.MAX_VALUE), new StorePosition(0, 1), 45, Long.MAX_VALUE);
        assertThat(GossipCodec.decode(encode(large), NOW_NANOS).replica()).isEqualTo(large);
    }

    @Test
    void versionIsToldBeforeAnyRestoration() throws IOException {
        ReplicaState state = new ReplicaState(new StorePosition(0, 700), new StorePosition(0, 300), 45, 78);
        assertThat(GossipCodec.decode(encode(state), NOW_NANOS).replica()).isEqualTo(state);
    }

    @Test
    void stateWithoutErasAndVersionIsRead() throws IOException {
        assertThat(GossipCodec.decode(encode(ReplicaState.NONE), NOW_NANOS).replica())
                .isEqualTo(ReplicaState.NONE);
    }

    @Test
    void erasFollowTheSummaryOfZones() throws IOException {
        ZoneReport report = new ZoneReport(new AvailabilityZoneId("zone-a"), 1, 2, NOW_NANOS);
        ZoneSummary zones = new ZoneSummary(List.of(new ServiceSummary(7, 1, List.of(report))));
        GossipMessage decoded = GossipCodec.decode(GossipCodec.encode(message(RESTORED, zones), NOW_NANOS), NOW_NANOS);
        assertThat(decoded.replica()).isEqualTo(RESTORED);
        assertThat(decoded.zones().isEmpty()).isFalse();
    }

    /** A node of an earlier version ends its message before the eras; its replica may be of any. */
    @Test
    void messageOfAnEarlierVersionIsOfTheFirstEra() throws IOException {
        byte[] bytes = encode(RESTORED);
        byte[] earlier = Arrays.copyOf(bytes, bytes.length - ENCODED_ERAS_BYTES);
        earlier[indexOfSenderFlags(bytes)] &= ~SENDER_TELLS_ERAS;
        assertThat(GossipCodec.decode(earlier, NOW_NANOS).replica())
                .isEqualTo(new ReplicaState(new StorePosition(0, 700), new StorePosition(0, 300), 45, 0));
    }

    /** A node of an earlier version ignores the flag, and reads no further than it knows. */
    @Test
    void restOfTheMessageIsReadWithoutTheFlagOfTheEras() throws IOException {
        byte[] bytes = encode(RESTORED);
        bytes[indexOfSenderFlags(bytes)] &= ~SENDER_TELLS_ERAS;
        ReplicaState read = GossipCodec.decode(bytes, NOW_NANOS).replica();
        assertThat(read.changePosition()).isEqualTo(new StorePosition(0, 700));
        assertThat(read.confirmedAgeMillis()).isEqualTo(45);
    }

    @Test
    void messageThatIsCutWithinTheErasIsRejected() {
        byte[] bytes = encode(RESTORED);
        for (int cut = 1; cut <= ENCODED_ERAS_BYTES; cut++) {
            byte[] truncated = Arrays.copyOf(bytes, bytes.length - cut);
            assertThatThrownBy(() -> GossipCodec.decode(truncated, NOW_NANOS)).isInstanceOf(IOException.class);
        }
    }

    /** A varint of ten bytes may stand for a negative number. */
    @Test
    void negativeNumbersAreRejectedOrCountAsUnknown() {
        byte[] bytes = encode(RESTORED);
        for (int field = 0; field < 4; field++) {
            int start = bytes.length - ENCODED_ERAS_BYTES + field;
            byte[] negative = Arrays.copyOf(bytes, start + 10 + 4);
            Arrays.fill(negative, start, start + 9, (byte) -1);
            negative[start + 9] = 1;
            assertNothingNegative(negative);
        }
    }

    private static void assertNothingNegative(byte[] bytes) {
        try {
            ReplicaState replica = GossipCodec.decode(bytes, NOW_NANOS).replica();
            assertThat(replica.configurationVersion()).isNotNegative();
            assertThat(replica.eraAgeMillis()).isNotNegative();
        } catch (IOException e) {
            assertThat(e).isNotNull();
        }
    }

    @Test
    void eraOfAReplicaIsTheLaterOne() {
        assertThat(RESTORED.era()).isEqualTo(2);
        assertThat(new ReplicaState(StorePosition.START, new StorePosition(3, 1), 0, 0).era())
                .isEqualTo(3);
        assertThat(ReplicaState.NONE.era()).isZero();
    }
}
