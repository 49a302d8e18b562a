package org.turmericspan.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import java.util.function.Consumer;

/** Adds the handlers of a channel when it is registered, and leaves. */
public final class ChannelSetup implements InboundHandler {
    private final Consumer<ChannelPipeline> handlers;

    /**
     * Creates the first handler of one channel.
     *
     * @param handlers adds the handlers that stay
     */
    public ChannelSetup(Consumer<ChannelPipeline> handlers) {
        this.handlers = handlers;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        handlers.accept(context.pipeline());
        context.pipeline().remove(this);
    }
}
