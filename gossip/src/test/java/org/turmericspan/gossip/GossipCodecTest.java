package org.turmericspan.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.balancing.CrashSuspects.Crash;
import org.turmericspan.balancing.Observation;
import org.turmericspan.balancing.PeerReport;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;

class GossipCodecTest {
    private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(100);

    private static final int SENDER_TELLS_REPLICA = 8;
    /** Two bytes each for 700 and 300, one for 45. */
    private static final int ENCODED_REPLICA_BYTES = 5;

    private static GossipMessage sample() {
        Member member = new Member(
                new SocketAddress("10.200.3.254", 7_700),
                new SocketAddress("10.200.3.254", 8_161),
                new AvailabilityZoneId("zone-a"),
                -5,
                true,
                false,
                true,
                NOW_NANOS);
        Observation observation =
                new Observation(NOW_NANOS - TimeUnit.MILLISECONDS.toNanos(40), 2, 1, 400, 0, true, true);
        return new GossipMessage(
                List.of(member),
                List.of(new PeerReport(-9, observation, 2, 30)),
                List.of(new Crash(1, 2)),
                new ReplicaState(new StorePosition(0, 700), new StorePosition(0, 300), 45, 0));
    }

    @Test
    void messageIsUnchangedAfterEncodingAndDecoding() throws IOException {
        GossipMessage decoded = GossipCodec.decode(GossipCodec.encode(sample(), NOW_NANOS), NOW_NANOS);
        assertThat(decoded.members().get(0).withHeardNanos(0))
                .isEqualTo(sample().members().get(0).withHeardNanos(0));
        assertThat(decoded.reports().get(0).inFlight()).isEqualTo(2);
        assertThat(decoded.reports().get(0).observation().slowdownPercent()).isEqualTo(400);
        assertThat(decoded.crashes()).isEqualTo(sample().crashes());
        assertThat(decoded.replica()).isEqualTo(sample().replica());
    }

    /** Nodes of different versions run side by side during an upgrade. */
    @Test
    void messageOfAnEarlierVersionTellsNothingOfTheReplica() throws IOException {
        byte[] bytes = GossipCodec.encode(sample(), NOW_NANOS);
        int flagsIndex = indexOfSenderFlags(bytes);
        byte[] earlier = Arrays.copyOf(bytes, bytes.length - ENCODED_REPLICA_BYTES);
        earlier[flagsIndex] &= ~SENDER_TELLS_REPLICA;
        GossipMessage decoded = GossipCodec.decode(earlier, NOW_NANOS);
        assertThat(decoded.replica()).isEqualTo(ReplicaState.NONE);
        assertThat(decoded.crashes()).isEqualTo(sample().crashes());
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
    void relayingNeverMakesObservationNewer() throws IOException {
        GossipMessage decoded = GossipCodec.decode(GossipCodec.encode(sample(), NOW_NANOS), NOW_NANOS);
        long sentNanos = sample().reports().get(0).observation().atNanos();
        assertThat(decoded.reports().get(0).observation().atNanos()).isLessThanOrEqualTo(sentNanos);
    }

    @Test
    void malformedBytesAreRejected() {
        byte[] bytes = GossipCodec.encode(sample(), NOW_NANOS);
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThatThrownBy(() -> GossipCodec.decode(truncated, NOW_NANOS)).isInstanceOf(IOException.class);
        }
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < 2_000; i++) {
            byte[] corrupted = bytes.clone();
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
            assertDecodedOrRejected(corrupted);
        }
    }

    private static void assertDecodedOrRejected(byte[] corrupted) {
        try {
            assertThat(GossipCodec.decode(corrupted, NOW_NANOS).members()).isNotEmpty();
        } catch (IOException e) {
            assertThat(e).isNotNull();
        }
    }
}
