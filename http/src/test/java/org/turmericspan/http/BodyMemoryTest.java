package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

class BodyMemoryTest {
    private static final int LIMIT_BYTES = 1_000_000;

    private final BodyMemory memory = new BodyMemory(LIMIT_BYTES);

    @Test
    void largeBodiesLeaveRoomForSmallRequests() {
        assertThat(memory.tryGrowRequest(0, 700_000)).isTrue();
        assertThat(memory.tryGrowRequest(0, 200_000)).isFalse();
        assertThat(memory.tryGrowRequest(0, 60_000)).isTrue();
        assertThat(memory.requestBytes()).isEqualTo(760_000);
    }

    @Test
    void requestsDoNotTakeTheMemoryOfResponses() {
        assertThat(memory.tryGrowRequest(0, 700_000)).isTrue();
        assertThat(memory.tryGrowResponse(0, LIMIT_BYTES)).isTrue();
        assertThat(memory.tryGrowResponse(0, 1)).isFalse();
    }

    @Test
    void requestIsAcceptedOnlyWithRoomForItsResponse() {
        memory.addResponse(700_000);
        assertThat(memory.hasRoomForResponses()).isTrue();
        memory.addResponse(100_000);
        assertThat(memory.hasRoomForResponses()).isFalse();
        memory.releaseResponse(100_000);
        assertThat(memory.hasRoomForResponses()).isTrue();
    }

    @Test
    void bufferOfUnknownLengthReservesWhatItAllocates() {
        try (BodyBuffer body = BodyBuffer.ofRequest(memory)) {
            for (int i = 0; i < 100; i++) {
                assertThat(body.tryAppend(Unpooled.wrappedBuffer(new byte[1_000])))
                        .isTrue();
            }
            assertThat(body.toByteArray()).hasSize(100_000);
            assertThat(memory.requestBytes()).isBetween(100_000L, 200_000L);
        }
        assertThat(memory.requestBytes()).isZero();
    }

    @Test
    void bufferGrowsUpToTheLimit() {
        try (BodyBuffer body = BodyBuffer.ofResponse(memory)) {
            for (int i = 0; i < 1_000; i++) {
                assertThat(body.tryAppend(Unpooled.wrappedBuffer(new byte[1_000])))
                        .as("part %s", i)
                        .isTrue();
            }
            assertThat(body.tryAppend(Unpooled.wrappedBuffer(new byte[1]))).isFalse();
            assertThat(body.toByteArray()).hasSize(LIMIT_BYTES);
        }
    }

    @Test
    void bufferOfKnownLengthReservesNoMore() {
        try (BodyBuffer body = BodyBuffer.ofRequest(memory)) {
            assertThat(body.tryExpect(3_000)).isTrue();
            assertThat(body.tryAppend(Unpooled.wrappedBuffer(new byte[3_000]))).isTrue();
            assertThat(memory.requestBytes()).isEqualTo(3_000);
        }
    }

    @Test
    void bufferBeyondTheLimitKeepsWhatItHas() {
        try (BodyBuffer body = BodyBuffer.ofResponse(memory)) {
            assertThat(body.tryAppend(Unpooled.wrappedBuffer(new byte[600_000])))
                    .isTrue();
            assertThat(body.tryAppend(Unpooled.wrappedBuffer(new byte[600_000])))
                    .isFalse();
            assertThat(memory.responseBytes()).isEqualTo(600_000);
        }
        assertThat(memory.responseBytes()).isZero();
    }
}
