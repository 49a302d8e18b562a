package org.turmericspan.gossip;

import io.netty.bootstrap.Bootstrap;
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
import java.util.Collection;
import java.util.function.BiConsumer;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.transport.InboundHandler;

/** Sends and receives gossip messages as UDP datagrams. A lost message is not resent: the next one replaces it. */
public final class GossipTransport implements GossipSender, AutoCloseable {
    /** Receive buffer; larger than the largest message that {@link GossipPace} and {@link Gossip} allow. */
    private static final int MAX_DATAGRAM_BYTES = 16_384;

    private final Channel channel;
    private final MonotonicClock clock;

    /**
     * Binds the address and starts to receive messages.
     *
     * @param workers event loops on which messages are sent and received
     * @param address address to bind
     * @param receiver called with the address of the sender and the received message
     * @param clock monotonic clock
     * @param log log for malformed messages
     */
    public GossipTransport(
            EventLoopGroup workers,
            SocketAddress address,
            BiConsumer<SocketAddress, GossipMessage> receiver,
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

    @Override
    public void send(GossipMessage message, Collection<SocketAddress> recipients) {
        byte[] bytes = GossipCodec.encode(message, clock.nowNanos());
        for (SocketAddress recipient : recipients) {
            channel.write(new DatagramPacket(
                    Unpooled.wrappedBuffer(bytes), new InetSocketAddress(recipient.host(), recipient.port())));
        }
        channel.flush();
    }

    @Override
    public void close() {
        channel.close();
    }

    private static final class Receiver implements InboundHandler {
        private final BiConsumer<SocketAddress, GossipMessage> receiver;
        private final MonotonicClock clock;
        private final EventLog log;

        Receiver(BiConsumer<SocketAddress, GossipMessage> receiver, MonotonicClock clock, EventLog log) {
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
                receiver.accept(from, GossipCodec.decode(bytes, clock.nowNanos()));
            } catch (IOException e) {
                log.write(Event.notice("members", "Gossip message malformed.")
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
