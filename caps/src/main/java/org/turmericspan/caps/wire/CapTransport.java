package org.turmericspan.caps.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.turmericspan.caps.CapDatagram;
import org.turmericspan.caps.CapSender;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.transport.InboundHandler;

/** Sends and receives cap messages as UDP datagrams. A lost message is not sent again; its ask times out. */
public final class CapTransport implements CapSender, AutoCloseable {
    /** Receive buffer; larger than any message. */
    private static final int MAX_DATAGRAM_BYTES = 512;

    private static final String PART = "caps";

    private final Channel channel;

    private CapTransport(Channel channel) {
        this.channel = channel;
    }

    /**
     * Binds the address and starts to receive messages. May be called on an event loop, since it does not wait.
     *
     * @param workers event loops on which messages are sent and received
     * @param address address to bind
     * @param receiver called with the address of the sender and the received message
     * @param log log for malformed messages and for a failure to bind
     * @param listener called once, on an event loop, with the transport; empty when the address could not be bound
     */
    public static void open(
            EventLoopGroup workers,
            SocketAddress address,
            BiConsumer<SocketAddress, CapDatagram> receiver,
            EventLog log,
            Consumer<Optional<CapTransport>> listener) {
        ChannelFuture bound = new Bootstrap()
                .group(workers)
                .channelFactory(NioDatagramChannel::new)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new Receiver(receiver, log))
                .bind(new InetSocketAddress(address.host(), address.port()));
        bound.addListener(future -> {
            if (future.isSuccess()) {
                listener.accept(Optional.of(new CapTransport(bound.channel())));
            } else {
                log.write(Event.failure(PART, "Cap address not bound, caps kept without other nodes.")
                        .with("address", address)
                        .with("cause", future.cause()));
                listener.accept(Optional.empty());
            }
        });
    }

    @Override
    public void send(CapDatagram datagram, SocketAddress recipient) {
        channel.writeAndFlush(new DatagramPacket(
                Unpooled.wrappedBuffer(CapCodec.encode(datagram)),
                new InetSocketAddress(recipient.host(), recipient.port())));
    }

    @Override
    public void close() {
        channel.close();
    }

    private static final class Receiver implements InboundHandler {
        private final BiConsumer<SocketAddress, CapDatagram> receiver;
        private final EventLog log;

        Receiver(BiConsumer<SocketAddress, CapDatagram> receiver, EventLog log) {
            this.receiver = receiver;
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
            CapDatagram datagram;
            try {
                datagram = CapCodec.decode(bytes);
            } catch (IOException e) {
                log.write(Event.notice(PART, "Cap message malformed.")
                        .with("from", from)
                        .with("reason", e.getMessage()));
                return;
            }
            receiver.accept(from, datagram);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.write(Event.notice(PART, "Datagram failed.").with("cause", cause));
        }
    }
}
