package org.turmericspan.caps.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.caps.CapAsk;
import org.turmericspan.caps.CapDatagram;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.SocketAddress;

class CapTransportTest {
    private static final long TIMEOUT_SECONDS = 10;

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<CapDatagram> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static SocketAddress freeAddress() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return new SocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private Optional<CapTransport> open(SocketAddress address) throws Exception {
        EventLog log = events::add;
        CompletableFuture<Optional<CapTransport>> opened = new CompletableFuture<>();
        // From an event loop, as the first configuration with a cap does.
        workers.execute(() ->
                CapTransport.open(workers, address, (from, message) -> received.add(message), log, opened::complete));
        return opened.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void messageArrivesAndMalformedOnesAreDropped() throws Exception {
        SocketAddress address = freeAddress();
        CapTransport transport = open(address).orElseThrow();
        try (DatagramSocket other = new DatagramSocket()) {
            byte[] malformed = {1, 9, 9};
            other.send(new DatagramPacket(
                    malformed, malformed.length, new InetSocketAddress(address.host(), address.port())));
        }
        assertThat(events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
        CapDatagram ask = new CapDatagram(7, false, new CapAsk(1, 2, 3, 4, 5, 6));
        transport.send(ask, address);
        assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(ask);
        transport.close();
    }

    @Test
    void takenAddressIsReported() throws Exception {
        try (DatagramSocket taken = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            assertThat(open(new SocketAddress("127.0.0.1", taken.getLocalPort())))
                    .isEmpty();
            assertThat(events).hasSize(1);
        }
    }
}
