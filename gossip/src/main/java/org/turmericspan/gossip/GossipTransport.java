package org.turmericspan.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.transport.InboundHandler;

/** Sends and receives digests as datagrams. A lost one is made good by the next. */
public final class GossipTransport implements AutoCloseable {
    private static final int MAX_DATAGRAM_BYTES = 65_507;

    private final Channel channel;
    private final MonotonicClock clock;

    /**
     * Binds the address.
     *
     * @param workers the worker pool
     * @param address where to listen
     * @param receiver takes the sender's address and its digest
     * @param clock monotonic time
     * @param log takes datagrams that cannot be read
     */
    public GossipTransport(
            EventLoopGroup workers,
            SocketAddress address,
            BiConsumer<SocketAddress, Digest> receiver,
            MonotonicClock clock,
            EventLog log) {
        this.clock = clock;
        this.channel = new Bootstrap()
                .group(workers)
                .channelFactory(NioDatagramChannel::new)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new Receiver(receiver, clock, log))
                .bind(new InetSocketAddress(address.host(), address.port()))
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Sends a digest.
     *
     * @param digest what to tell
     * @param target whom to tell
     */
    public void send(Digest digest, SocketAddress target) {
        ByteBuf bytes = Unpooled.wrappedBuffer(DigestFormat.write(digest, clock.nowNanos()));
        channel.writeAndFlush(new DatagramPacket(bytes, new InetSocketAddress(target.host(), target.port())));
    }

    @Override
    public void close() {
        channel.close();
    }

    private static final class Receiver implements InboundHandler {
        private final BiConsumer<SocketAddress, Digest> receiver;
        private final MonotonicClock clock;
        private final EventLog log;

        Receiver(BiConsumer<SocketAddress, Digest> receiver, MonotonicClock clock, EventLog log) {
            this.receiver = receiver;
            this.clock = clock;
            this.log = log;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            DatagramPacket packet = (DatagramPacket) message;
            try {
                receive(packet);
            } finally {
                packet.release();
            }
        }

        private void receive(DatagramPacket packet) {
            InetSocketAddress sender = packet.sender();
            SocketAddress from = new SocketAddress(sender.getAddress().getHostAddress(), sender.getPort());
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            try {
                receiver.accept(from, DigestFormat.read(bytes, clock.nowNanos()));
            } catch (IOException e) {
                log.write(Event.notice("members", "Digest not readable.")
                        .with("from", from)
                        .with("reason", e.getMessage()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.write(Event.notice("members", "Datagram failed.").with("cause", cause));
        }
    }
}
