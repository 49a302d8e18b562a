package org.turmericspan.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.annotation.Annotation;
import java.lang.reflect.Method;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class InboundHandlerTest {
    private final List<Object> read = new ArrayList<>();

    /** Passes everything on. */
    private static final class Passing implements InboundHandler {}

    private final class Reading implements InboundHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            read.add(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            read.add(cause);
        }
    }

    @Test
    void eventsArePassedOn() {
        EmbeddedChannel channel = new EmbeddedChannel(new Passing(), new Reading());
        RuntimeException failure = new RuntimeException("failure");

        channel.writeInbound("message");
        channel.pipeline().fireExceptionCaught(failure);

        assertThat(read).containsExactly("message", failure);
    }

    @Test
    void methodsBearNoAnnotationsThatAreReadAtRunTime() {
        for (Method method : InboundHandler.class.getDeclaredMethods()) {
            assertThat(method.getAnnotations()).as(method.getName()).isEqualTo(new Annotation[0]);
        }
    }

    @Test
    void setupLeavesTheHandlersThatItAdded() {
        Reading reading = new Reading();
        EmbeddedChannel channel = new EmbeddedChannel(new ChannelSetup(pipeline -> pipeline.addLast(reading)));

        channel.writeInbound("message");

        assertThat(read).containsExactly("message");
        assertThat(channel.pipeline().get(ChannelSetup.class)).isNull();
    }
}
