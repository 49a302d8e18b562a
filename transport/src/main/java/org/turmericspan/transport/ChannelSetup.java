package org.turmericspan.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import java.util.function.Consumer;

/** Adds the handlers of a channel to its pipeline, then removes itself, as Netty's {@code ChannelInitializer} does. */
public final class ChannelSetup implements InboundHandler {
    private final Consumer<ChannelPipeline> initializer;

    /**
     * Creates the initial handler of one channel.
     *
     * @param initializer adds the handlers that remain in the pipeline
     */
    public ChannelSetup(Consumer<ChannelPipeline> initializer) {
        this.initializer = initializer;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        initializer.accept(context.pipeline());
        context.pipeline().remove(this);
    }
}
