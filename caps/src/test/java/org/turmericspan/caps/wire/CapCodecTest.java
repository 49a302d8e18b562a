package org.turmericspan.caps.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.Arrays;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.turmericspan.caps.CapAnswer;
import org.turmericspan.caps.CapAsk;
import org.turmericspan.caps.CapDatagram;
import org.turmericspan.caps.InMemoryFleet;

final class CapCodecTest {
    @Property(seed = "20261207", tries = 500)
    void askIsDecodedAsEncoded(
            @ForAll long tenant,
            @ForAll long asker,
            @ForAll long number,
            @ForAll @IntRange(max = 4_096) int waiting,
            @ForAll @IntRange(max = 4_096) int ahead,
            @ForAll @IntRange(max = 4_096) int returned)
            throws IOException {
        CapAsk ask = new CapAsk(tenant, asker, number, waiting, ahead, returned);
        CapDatagram datagram = new CapDatagram(waiting, true, ask);
        assertThat(CapCodec.decode(CapCodec.encode(datagram))).isEqualTo(datagram);
    }

    @Property(seed = "20261207", tries = 500)
    void answerIsDecodedAsEncoded(
            @ForAll long tenant,
            @ForAll long number,
            @ForAll CapAnswer.Verdict verdict,
            @ForAll @IntRange(max = 4_096) int granted,
            @ForAll @LongRange(max = 600_000) long emptyMillis,
            @ForAll @LongRange(max = 600_000) long retryMillis)
            throws IOException {
        CapAnswer answer = new CapAnswer(tenant, number, verdict, granted, granted, granted, emptyMillis, retryMillis);
        CapDatagram datagram = new CapDatagram(granted, false, answer);
        assertThat(CapCodec.decode(CapCodec.encode(datagram))).isEqualTo(datagram);
    }

    @Property(seed = "20261207", tries = 2_000)
    void anyBytesAreDecodedOrRejected(@ForAll byte[] bytes) {
        decodeOrReject(bytes);
    }

    @Property(seed = "20261207", tries = 2_000)
    void damagedMessageIsDecodedOrRejected(@ForAll @IntRange(max = 40) int index, @ForAll byte value) {
        byte[] bytes = CapCodec.encode(new CapDatagram(7, false, new CapAsk(1, 2, 3, 4, 5, 6)));
        bytes[index % bytes.length] = value;
        decodeOrReject(bytes);
    }

    private static void decodeOrReject(byte[] bytes) {
        try {
            assertThat(CapCodec.decode(bytes)).isNotNull();
        } catch (IOException e) {
            assertThat(e).isNotNull();
        }
    }

    @Example
    void truncatedAndProlongedMessagesAreRejected() {
        byte[] bytes = CapCodec.encode(new CapDatagram(7, false, new CapAsk(1, 2, 3, 4, 5, 6)));
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThatThrownBy(() -> CapCodec.decode(truncated)).isInstanceOf(IOException.class);
        }
        assertThatThrownBy(() -> CapCodec.decode(Arrays.copyOf(bytes, bytes.length + 1)))
                .isInstanceOf(IOException.class);
    }

    @Example
    void messagesAreAsSmallAsTheFleetInMemoryAssumes() {
        byte[] ask = CapCodec.encode(new CapDatagram(689, false, new CapAsk(-1, -1, 1_000_000, 256, 256, 256)));
        byte[] answer = CapCodec.encode(new CapDatagram(
                689, true, new CapAnswer(-1, 1_000_000, CapAnswer.Verdict.NOT_HELD, 256, 256, 256, 2_000, 2_000)));
        assertThat(ask).hasSizeLessThanOrEqualTo(InMemoryFleet.MESSAGE_BYTES);
        assertThat(answer).hasSizeLessThanOrEqualTo(InMemoryFleet.MESSAGE_BYTES);
    }
}
