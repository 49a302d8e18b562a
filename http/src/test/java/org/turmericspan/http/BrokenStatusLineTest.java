package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.testkit.ManualClock;

/**
 * Status lines that are malformed or cut, on connections in each state: the call is broken, which promises nothing, and
 * the connection carries no other one.
 */
class BrokenStatusLineTest {
    private static final CallOptions OPTIONS = new CallOptions(1, Long.MAX_VALUE, true, Optional.of("X-Id"));
    private static final SocketAddress ADDRESS = new SocketAddress("127.0.0.1", 1);
    /** More than one read, so that a part of the body is still to be sent when the response arrives. */
    private static final byte[] BODY = new byte[300_000];

    private static final String REST = " Odd\r\nX-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final List<String> STATUSES = List.of(
            "000", "099", "0", "1000", "600", "700", "999", "-1", "-503", "5 03", "", "abc", "50x", "5.3", "0503",
            "101");
    private static final List<String> CUT_RESPONSES = List.of(
            "",
            "H",
            "HTTP/1.1",
            "HTTP/1.1 ",
            "HTTP/1.1 0",
            "HTTP/1.1 50",
            "HTTP/1.1 503",
            "HTTP/1.1 503 Full\r",
            "HTTP/1.1 503 Full\r\n",
            "HTTP/1.1 503 Full\r\nX-Id: a\r\nNot-Executed: 1\r\n",
            "HTTP/1.1 503 Full\r\nX-Id: a\r\nNot-Executed: 1\r\nContent-Length: 1\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 102 Processing\r\nX-Id: a\r\nNot-Executed: 1\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Full\r\nX-Id: a\r\nNot-Executed: 1\r\n");

    /** State of a connection when the response arrives. */
    private enum State {
        FRESH(false, false),
        KEPT(true, false),
        BODY_NOT_SENT(false, true),
        KEPT_AND_BODY_NOT_SENT(true, true);

        private final boolean isKept;
        private final boolean holdsWrites;

        State(boolean isKept, boolean holdsWrites) {
            this.isKept = isKept;
            this.holdsWrites = holdsWrites;
        }
    }

    /** A call on a connection of its own. */
    private static final class Call {
        private final ManualClock clock = new ManualClock();
        private final ConnectionPool pool = new ConnectionPool(clock);
        private final ServerConnection connection =
                new ServerConnection(ADDRESS, pool, new BodyMemory(Long.MAX_VALUE), new ResponseFaults(), clock);
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final List<CallEnd> ends = new ArrayList<>();

        Call(State state) {
            connection.addHandlers(channel.pipeline());
            connection.onConnected(channel);
            if (state.isKept) {
                connection.start(request("first"), OPTIONS, end -> {});
                receive("HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n");
                assertThat(pool.take(ADDRESS, OPTIONS)).isPresent();
            }
            if (state.holdsWrites) {
                channel.pipeline().addFirst(new HeldWrites());
            }
            connection.start(request("a"), OPTIONS, ends::add);
        }

        private static RequestMessage request(String id) {
            return new RequestMessage("POST", "/x", HeaderList.EMPTY.with("X-Id", id), BODY);
        }

        void receive(String text) {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }

        void assertBroken(String response) {
            assertThat(ends).as(response).hasSize(1).first().isInstanceOf(CallEnd.Broken.class);
            assertThat(channel.isActive()).as(response).isFalse();
            assertThat(pool.take(ADDRESS, OPTIONS)).as(response).isEmpty();
            channel.finishAndReleaseAll();
        }
    }

    @ParameterizedTest
    @EnumSource
    void malformedStatusBreaksCall(State state) {
        for (String status : STATUSES) {
            String response = "HTTP/1.1 " + status + REST;
            Call call = new Call(state);
            call.receive(response);
            call.assertBroken(response);
        }
    }

    @ParameterizedTest
    @EnumSource
    void malformedStatusInSingleBytesBreaksCall(State state) {
        for (String status : STATUSES) {
            String response = "HTTP/1.1 " + status + REST;
            Call call = new Call(state);
            response.chars()
                    .takeWhile(next -> call.channel.isActive())
                    .forEach(next -> call.receive(Character.toString(next)));
            call.assertBroken(response);
        }
    }

    @ParameterizedTest
    @EnumSource
    void cutResponseBreaksCall(State state) {
        for (String response : CUT_RESPONSES) {
            Call ended = new Call(state);
            ended.receive(response);
            assertThat(ended.ends).as(response).isEmpty();
            ended.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            ended.assertBroken(response);
            Call closed = new Call(state);
            closed.receive(response);
            closed.channel.close();
            closed.assertBroken(response);
        }
    }

    /** Keeps writes pending, as a socket does whose peer receives nothing. */
    private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
        }
    }
}
