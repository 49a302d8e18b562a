package org.turmericspan.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;

/**
 * An inbound handler that forwards every event whose method is not overridden.
 *
 * <p>It replaces Netty's {@code ChannelInboundHandlerAdapter}, whose methods carry an annotation that Netty reads at
 * run time. The first such read makes the JDK generate proxy classes, which no class data sharing archive contains and
 * which take a tenth of the start-up time.
 */
public interface InboundHandler extends ChannelInboundHandler {
    @Override
    default void handlerAdded(ChannelHandlerContext context) throws Exception {}

    @Override
    default void handlerRemoved(ChannelHandlerContext context) throws Exception {}

    @Override
    default void channelRegistered(ChannelHandlerContext context) throws Exception {
        context.fireChannelRegistered();
    }

    @Override
    default void channelUnregistered(ChannelHandlerContext context) throws Exception {
        context.fireChannelUnregistered();
    }

    @Override
    default void channelActive(ChannelHandlerContext context) throws Exception {
        context.fireChannelActive();
    }

    @Override
    default void channelInactive(ChannelHandlerContext context) throws Exception {
        context.fireChannelInactive();
    }

    @Override
    default void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        context.fireChannelRead(message);
    }

    @Override
    default void channelReadComplete(ChannelHandlerContext context) throws Exception {
        context.fireChannelReadComplete();
    }

    @Override
    default void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        context.fireUserEventTriggered(event);
    }

    @Override
    default void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        context.fireChannelWritabilityChanged();
    }

    @Override
    default void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        context.fireExceptionCaught(cause);
    }
}
