package org.turmericspan.standins.network;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** One forwarded connection; both directions run on one event loop. */
final class LinkConnection {
    private final Supplier<LinkFault> fault;
    private volatile boolean isBlackholed;
    private Channel inbound;
    private Channel outbound;

    LinkConnection(Supplier<LinkFault> fault) {
        this.fault = fault;
    }

    void attach(Channel newInbound, Channel newOutbound) {
        inbound = newInbound;
        outbound = newOutbound;
        inbound.pipeline().addLast(new Forwarder(outbound));
        outbound.pipeline().addLast(new Forwarder(inbound));
    }

    void startReading() {
        inbound.config().setAutoRead(true);
        outbound.config().setAutoRead(true);
    }

    void blackhole() {
        isBlackholed = true;
    }

    void close() {
        if (inbound != null) {
            inbound.close();
        }
        if (outbound != null) {
            outbound.close();
        }
    }

    /** Forwards bytes to the other channel in order, with the delay and the bandwidth of the current fault. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel destination;
        private long deliveryNanos = System.nanoTime();

        Forwarder(Channel destination) {
            this.destination = destination;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (isBlackholed) {
                ReferenceCountUtil.release(message);
                return;
            }
            long delayNanos = reserveDelayNanos((ByteBuf) message);
            if (delayNanos <= 0) {
                destination.writeAndFlush(message);
            } else {
                context.executor().schedule(() -> forward(message), delayNanos, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!isBlackholed) {
                long delayNanos = Math.max(0, deliveryNanos - System.nanoTime());
                context.executor().schedule(() -> destination.close(), delayNanos, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void forward(Object message) {
            if (isBlackholed) {
                ReferenceCountUtil.release(message);
            } else {
                destination.writeAndFlush(message);
            }
        }

        private long reserveDelayNanos(ByteBuf bytes) {
            LinkFault current = fault.get();
            long nowNanos = System.nanoTime();
            long transferNanos = current.bytesPerSecond() == 0
                    ? 0
                    : TimeUnit.SECONDS.toNanos(bytes.readableBytes()) / current.bytesPerSecond();
            deliveryNanos = Math.max(deliveryNanos, nowNanos + current.delay().toNanos()) + transferNanos;
            return deliveryNanos - nowNanos;
        }
    }
}
