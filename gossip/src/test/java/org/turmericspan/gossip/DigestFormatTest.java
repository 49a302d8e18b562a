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

class DigestFormatTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(100);

    private static Digest sample() {
        Member member = new Member(
                new SocketAddress("10.200.3.254", 7_700),
                new SocketAddress("10.200.3.254", 8_161),
                new AvailabilityZoneId("zone-a"),
                -5,
                true,
                false,
                true,
                NOW);
        Observation observation = new Observation(NOW - TimeUnit.MILLISECONDS.toNanos(40), 2, 1, 400, 0, true, true);
        return new Digest(List.of(member), List.of(new PeerReport(-9, observation, 2, 30)), List.of(new Crash(1, 2)));
    }

    @Test
    void digestSurvivesTheWire() throws IOException {
        Digest read = DigestFormat.read(DigestFormat.write(sample(), NOW), NOW);
        assertThat(read.members().get(0).heardAt(0))
                .isEqualTo(sample().members().get(0).heardAt(0));
        assertThat(read.reports().get(0).inFlight()).isEqualTo(2);
        assertThat(read.reports().get(0).observation().slowdownPercent()).isEqualTo(400);
        assertThat(read.crashes()).isEqualTo(sample().crashes());
    }

    @Test
    void passingOnNeverMakesKnowledgeNewer() throws IOException {
        Digest read = DigestFormat.read(DigestFormat.write(sample(), NOW), NOW);
        long sent = sample().reports().get(0).observation().atNanos();
        assertThat(read.reports().get(0).observation().atNanos()).isLessThanOrEqualTo(sent);
    }

    @Test
    void garbageIsRefused() {
        byte[] bytes = DigestFormat.write(sample(), NOW);
        for (int length = 0; length < bytes.length; length++) {
            byte[] cut = Arrays.copyOf(bytes, length);
            assertThatThrownBy(() -> DigestFormat.read(cut, NOW)).isInstanceOf(IOException.class);
        }
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < 2_000; i++) {
            byte[] noise = bytes.clone();
            noise[random.nextInt(noise.length)] = (byte) random.nextInt();
            readOrRefuse(noise);
        }
    }

    private static void readOrRefuse(byte[] noise) {
        try {
            assertThat(DigestFormat.read(noise, NOW).members()).isNotEmpty();
        } catch (IOException e) {
            assertThat(e).isNotNull();
        }
    }
}
