package org.turmericspan.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.tables.WorkerPool;

final class NettyPeerLinksTest {
    private static final String KEY = "sixteen-characters-and-more";
    private static final VmId FIRST = new VmId("entry-00");
    private static final VmId SECOND = new VmId("entry-01");
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
    private static final PeerMessage REQUEST = new PeerMessage.CancelSlotRequest(1);

    private final WorkerPool workerPool = new WorkerPool(4);
    private final Map<VmId, SocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<VmId, PeerHandlers> handlers = new HashMap<>();
    private final List<NettyPeerLinks> opened = new ArrayList<>();

    @AfterEach
    void close() {
        opened.forEach(NettyPeerLinks::close);
        workerPool.close();
    }

    @Test
    void askReturnsTheReplyOfTheHandler() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);
        handlers.get(SECOND).register(PeerMessage.CancelSlotRequest.class, (from, message) -> {
            boolean isExpected = from.equals(FIRST) && message.equals(REQUEST);
            return CompletableFuture.completedFuture(new PeerMessage.CancelSlotRequest(isExpected ? 2 : 0));
        });

        assertThat(ask(links)).isEqualTo(new PeerMessage.CancelSlotRequest(2));
    }

    @Test
    void messagesOfOneTrafficClassAreHandledInOrder() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);
        List<Long> seen = Collections.synchronizedList(new ArrayList<>());
        handlers.get(SECOND).register(PeerMessage.CancelSlotRequest.class, (from, message) -> {
            seen.add(((PeerMessage.CancelSlotRequest) message).requestNumber());
            return CompletableFuture.completedFuture(new PeerMessage.Done());
        });
        LongStream.range(0, 500).forEach(number -> links.tell(SECOND, new PeerMessage.CancelSlotRequest(number)));
        links.ask(SECOND, new PeerMessage.CancelSlotRequest(500), LONG_TIMEOUT)
                .toCompletableFuture()
                .join();

        assertThat(seen)
                .containsExactlyElementsOf(
                        LongStream.rangeClosed(0, 500).boxed().toList());
    }

    @Test
    void messageWithoutHandlerIsReportedAsPossiblyReceived() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);

        assertThat(ask(links)).isEqualTo(new PeerMessage.Unreachable(true));
    }

    @Test
    void messageWithoutReplyInTimeIsReportedAsPossiblyReceived() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);
        handlers.get(SECOND)
                .register(PeerMessage.CancelSlotRequest.class, (from, message) -> new CompletableFuture<>());

        PeerMessage reply = links.ask(SECOND, REQUEST, Duration.ofMillis(300))
                .toCompletableFuture()
                .join();

        assertThat(reply).isEqualTo(new PeerMessage.Unreachable(true));
    }

    @Test
    void messageIsReportedAsPossiblyReceivedWhenThePeerStopsBeforeItsReply() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        NettyPeerLinks second = open(SECOND, KEY);
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        handlers.get(SECOND).register(PeerMessage.CancelSlotRequest.class, (from, message) -> {
            arrived.complete(null);
            return new CompletableFuture<>();
        });
        CompletableFuture<PeerMessage> reply =
                links.ask(SECOND, REQUEST, LONG_TIMEOUT).toCompletableFuture();
        arrived.join();
        second.close();

        assertThat(reply.join()).isEqualTo(new PeerMessage.Unreachable(true));
    }

    @Test
    void messageToUnlistedPeerIsReportedAsNotSent() throws IOException {
        assertThat(ask(open(FIRST, KEY))).isEqualTo(new PeerMessage.Unreachable(false));
    }

    @Test
    void messageOverRefusedConnectionIsReportedAsNotSent() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        addresses.put(SECOND, new SocketAddress("127.0.0.1", freePort()));

        assertThat(ask(links)).isEqualTo(new PeerMessage.Unreachable(false));
    }

    @Test
    void messageToListenerWithoutHandshakeIsReportedAsNotSent() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            addresses.put(SECOND, new SocketAddress("127.0.0.1", listener.getLocalPort()));

            assertThat(ask(links)).isEqualTo(new PeerMessage.Unreachable(false));
        }
    }

    @Test
    void nodeWithDifferentKeyIsRejectedAndHandlesNoMessage() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, "another-deployment-altogether");
        handlers.get(SECOND).register(PeerMessage.CancelSlotRequest.class, (from, message) -> {
            throw new IllegalStateException("must not be reached");
        });

        assertThat(ask(links)).isEqualTo(new PeerMessage.Unreachable(false));
    }

    @Test
    void differentNodeAtTheAddressOfThePeerIsRejected() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        VmId third = new VmId("entry-02");
        open(third, KEY);
        addresses.put(SECOND, addresses.get(third));

        assertThat(ask(links)).isEqualTo(new PeerMessage.Unreachable(false));
    }

    @Test
    void oversizedMessageIsNotSentAndTheLinkStaysUsable() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);
        handlers.get(SECOND)
                .register(
                        PeerMessage.ConfigurationDocument.class,
                        (from, message) -> CompletableFuture.completedFuture(new PeerMessage.Done()));
        PeerMessage oversized =
                new PeerMessage.ConfigurationDocument(Optional.of("x".repeat(FrameCodecHandler.FRAME_LIMIT_BYTES + 1)));
        PeerMessage small = new PeerMessage.ConfigurationDocument(Optional.of("x"));

        assertThat(links.ask(SECOND, oversized, LONG_TIMEOUT)
                        .toCompletableFuture()
                        .join())
                .isEqualTo(new PeerMessage.Unreachable(false));
        assertThat(links.ask(SECOND, small, LONG_TIMEOUT).toCompletableFuture().join())
                .isEqualTo(new PeerMessage.Done());
    }

    @Test
    void unauthenticatedBytesCloseOnlyTheirOwnConnection() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);
        handlers.get(SECOND)
                .register(
                        PeerMessage.CancelSlotRequest.class,
                        (from, message) -> CompletableFuture.completedFuture(new PeerMessage.Done()));
        Random random = new Random(20261204);
        for (int i = 0; i < 20; i++) {
            byte[] bytes = new byte[random.nextInt(2_000) + 4];
            random.nextBytes(bytes);
            try (Socket socket = new Socket(
                    addresses.get(SECOND).host(), addresses.get(SECOND).port())) {
                socket.setSoTimeout((int) LONG_TIMEOUT.toMillis());
                socket.getOutputStream().write(bytes);
                assertThat(readsEnd(socket)).isTrue();
            }
        }

        assertThat(ask(links)).isEqualTo(new PeerMessage.Done());
    }

    private static boolean readsEnd(Socket socket) {
        try {
            return socket.getInputStream().read() == -1;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private PeerMessage ask(NettyPeerLinks links) {
        return links.ask(SECOND, REQUEST, LONG_TIMEOUT).toCompletableFuture().join();
    }

    private NettyPeerLinks open(VmId vm, String key) throws IOException {
        SocketAddress address = new SocketAddress("127.0.0.1", freePort());
        addresses.put(vm, address);
        handlers.put(vm, new PeerHandlers());
        NettyPeerLinks links = new NettyPeerLinks(new LinkContext(
                new PeerSettings(vm, new Incarnation(1), address, key),
                peer -> Optional.ofNullable(addresses.get(peer)),
                handlers.get(vm),
                workerPool::execute,
                MonotonicClock.system(),
                new SecureRandom(),
                PeerTraffic.NO_OP));
        links.start();
        opened.add(links);
        return links;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
