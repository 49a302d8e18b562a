package org.turmericspan.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.annotation.Annotation;
import java.lang.reflect.Method;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the default methods of {@link InboundHandler}, and {@link ChannelSetup}. */
final class InboundHandlerTest {
    private final List<Object> received = new ArrayList<>();

    /** Overrides nothing. */
    private static final class ForwardingHandler implements InboundHandler {}

    /** Records every message and exception that reaches it. */
    private final class RecordingHandler implements InboundHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            received.add(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            received.add(cause);
        }
    }

    @Test
    void eventsAreForwardedByDefault() {
        EmbeddedChannel channel = new EmbeddedChannel(new ForwardingHandler(), new RecordingHandler());
        RuntimeException failure = new RuntimeException("failure");

        channel.writeInbound("message");
        channel.pipeline().fireExceptionCaught(failure);

        assertThat(received).containsExactly("message", failure);
    }

    /** An annotation retained at run time would bring back the slow start that {@link InboundHandler} avoids. */
    @Test
    void methodsHaveNoRuntimeAnnotations() {
        for (Method method : InboundHandler.class.getDeclaredMethods()) {
            assertThat(method.getAnnotations()).as(method.getName()).isEqualTo(new Annotation[0]);
        }
    }

    @Test
    void setupAddsHandlersAndRemovesItself() {
        RecordingHandler recorder = new RecordingHandler();
        EmbeddedChannel channel = new EmbeddedChannel(new ChannelSetup(pipeline -> pipeline.addLast(recorder)));

        channel.writeInbound("message");

        assertThat(received).containsExactly("message");
        assertThat(channel.pipeline().get(ChannelSetup.class)).isNull();
    }
}
