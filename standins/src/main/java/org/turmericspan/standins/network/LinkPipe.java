package org.turmericspan.standins.network;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** One forwarded connection, both directions of it on one event loop. */
final class LinkPipe {
    private final Supplier<LinkFault> fault;
    private volatile boolean silent;
    private Channel inbound;
    private Channel outbound;

    LinkPipe(Supplier<LinkFault> fault) {
        this.fault = fault;
    }

    void join(Channel newInbound, Channel newOutbound) {
        inbound = newInbound;
        outbound = newOutbound;
        inbound.pipeline().addLast(new Forwarder(outbound));
        outbound.pipeline().addLast(new Forwarder(inbound));
    }

    void open() {
        inbound.config().setAutoRead(true);
        outbound.config().setAutoRead(true);
    }

    void silence() {
        silent = true;
    }

    void close() {
        if (inbound != null) {
            inbound.close();
        }
        if (outbound != null) {
            outbound.close();
        }
    }

    /** Forwards what it reads to the other side, late or slowly as the fault says, and in order. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private long dueNanos = System.nanoTime();

        Forwarder(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (silent) {
                ReferenceCountUtil.release(message);
                return;
            }
            long delayNanos = delayNanos((ByteBuf) message);
            if (delayNanos <= 0) {
                other.writeAndFlush(message);
            } else {
                context.executor().schedule(() -> forward(message), delayNanos, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!silent) {
                long delayNanos = Math.max(0, dueNanos - System.nanoTime());
                context.executor().schedule(() -> other.close(), delayNanos, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void forward(Object message) {
            if (silent) {
                ReferenceCountUtil.release(message);
            } else {
                other.writeAndFlush(message);
            }
        }

        private long delayNanos(ByteBuf bytes) {
            LinkFault current = fault.get();
            long nowNanos = System.nanoTime();
            long transferNanos = current.bytesPerSecond() == 0
                    ? 0
                    : TimeUnit.SECONDS.toNanos(bytes.readableBytes()) / current.bytesPerSecond();
            dueNanos = Math.max(dueNanos, nowNanos + current.delay().toNanos()) + transferNanos;
            return dueNanos - nowNanos;
        }
    }
}
