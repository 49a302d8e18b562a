package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.testkit.ManualClock;

class ServerConnectionTest {
    private static final CallOptions OPTIONS = new CallOptions(1, Long.MAX_VALUE, false, Optional.empty());
    private static final RequestMessage REQUEST = RequestMessage.get("/x", "host");
    private static final SocketAddress ADDRESS = new SocketAddress("127.0.0.1", 1);

    private final ManualClock clock = new ManualClock();
    private final ConnectionPool pool = new ConnectionPool(clock);
    private final ServerConnection connection =
            new ServerConnection(ADDRESS, pool, new BodyMemory(Long.MAX_VALUE), new ResponseFaults(), clock);
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<CallEnd> secondEnds = new ArrayList<>();

    ServerConnectionTest() {
        connection.addHandlers(channel.pipeline());
        connection.onConnected(channel);
    }

    private void receiveResponse() {
        channel.writeInbound(
                Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", StandardCharsets.US_ASCII));
    }

    /** Guards against a cancellation that arrives late and ends the next call on the connection without an outcome. */
    @Test
    void cancellationOfACompletedCallDoesNotEndTheNextOne() {
        CallHandle first = connection.start(
                REQUEST,
                OPTIONS,
                end -> pool.take(ADDRESS, OPTIONS).orElseThrow().start(REQUEST, OPTIONS, secondEnds::add));
        first.cancel();
        receiveResponse();
        receiveResponse();

        assertThat(secondEnds).hasSize(1).first().isInstanceOf(CallEnd.Answered.class);
        assertThat(channel.isActive()).isTrue();
    }

    @Test
    void cancelledCallHasNoOutcomeAndClosesTheConnection() {
        connection.start(REQUEST, OPTIONS, secondEnds::add).cancel();
        channel.runPendingTasks();

        assertThat(secondEnds).isEmpty();
        assertThat(channel.isActive()).isFalse();
    }

    /** Guards against a truncated body that looks complete, since a write that failed closed the connection. */
    @Test
    void bodyWithoutLengthIsNotCompleteWhenTheRequestCouldNotBeWritten() {
        List<ChannelPromise> writes = new ArrayList<>();
        channel.pipeline().addFirst(new PendingWrites(writes));
        connection.start(REQUEST, OPTIONS, secondEnds::add);
        channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\ntrunc", StandardCharsets.US_ASCII));
        writes.forEach(write -> write.setFailure(new IOException("Broken pipe")));
        channel.close();

        assertThat(secondEnds).hasSize(1).first().isInstanceOf(CallEnd.Broken.class);
    }

    /** Keeps writes pending, as a socket does whose peer receives nothing. */
    private static final class PendingWrites extends ChannelOutboundHandlerAdapter {
        private final List<ChannelPromise> writes;

        PendingWrites(List<ChannelPromise> writes) {
            this.writes = writes;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            writes.add(promise);
        }
    }
}
