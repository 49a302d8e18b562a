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
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final PeerMessage QUESTION = new PeerMessage.CancelSlotRequest(1);

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
    void questionGetsTheHandlersAnswer() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);
        handlers.get(SECOND).register(PeerMessage.CancelSlotRequest.class, (from, message) -> {
            boolean isRight = from.equals(FIRST) && message.equals(QUESTION);
            return CompletableFuture.completedFuture(new PeerMessage.CancelSlotRequest(isRight ? 2 : 0));
        });

        assertThat(ask(links)).isEqualTo(new PeerMessage.CancelSlotRequest(2));
    }

    @Test
    void messagesOfOneLaneAreHandledInOrder() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);
        List<Long> seen = Collections.synchronizedList(new ArrayList<>());
        handlers.get(SECOND).register(PeerMessage.CancelSlotRequest.class, (from, message) -> {
            seen.add(((PeerMessage.CancelSlotRequest) message).requestNumber());
            return CompletableFuture.completedFuture(new PeerMessage.Done());
        });
        LongStream.range(0, 500).forEach(number -> links.tell(SECOND, new PeerMessage.CancelSlotRequest(number)));
        links.ask(SECOND, new PeerMessage.CancelSlotRequest(500), LONG)
                .toCompletableFuture()
                .join();

        assertThat(seen)
                .containsExactlyElementsOf(
                        LongStream.rangeClosed(0, 500).boxed().toList());
    }

    @Test
    void messageWithoutHandlerMayHaveArrived() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);

        assertThat(ask(links)).isEqualTo(new PeerMessage.Unreachable(true));
    }

    @Test
    void lateAnswerEndsAsMayHaveArrived() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);
        handlers.get(SECOND)
                .register(PeerMessage.CancelSlotRequest.class, (from, message) -> new CompletableFuture<>());

        PeerMessage answer = links.ask(SECOND, QUESTION, Duration.ofMillis(300))
                .toCompletableFuture()
                .join();

        assertThat(answer).isEqualTo(new PeerMessage.Unreachable(true));
    }

    @Test
    void peerThatStopsWhileItOwesAnAnswerMayHaveGotTheQuestion() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        NettyPeerLinks second = open(SECOND, KEY);
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        handlers.get(SECOND).register(PeerMessage.CancelSlotRequest.class, (from, message) -> {
            arrived.complete(null);
            return new CompletableFuture<>();
        });
        CompletableFuture<PeerMessage> answer =
                links.ask(SECOND, QUESTION, LONG).toCompletableFuture();
        arrived.join();
        second.close();

        assertThat(answer.join()).isEqualTo(new PeerMessage.Unreachable(true));
    }

    @Test
    void unlistedPeerGetsNothing() throws IOException {
        assertThat(ask(open(FIRST, KEY))).isEqualTo(new PeerMessage.Unreachable(false));
    }

    @Test
    void refusedConnectionCarriesNothing() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        addresses.put(SECOND, new SocketAddress("127.0.0.1", freePort()));

        assertThat(ask(links)).isEqualTo(new PeerMessage.Unreachable(false));
    }

    @Test
    void silentListenerGetsNoMessage() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            addresses.put(SECOND, new SocketAddress("127.0.0.1", silent.getLocalPort()));

            assertThat(ask(links)).isEqualTo(new PeerMessage.Unreachable(false));
        }
    }

    @Test
    void nodeWithAnotherKeyIsRefusedAndHandlesNothing() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, "another-deployment-altogether");
        handlers.get(SECOND).register(PeerMessage.CancelSlotRequest.class, (from, message) -> {
            throw new IllegalStateException("must not be reached");
        });

        assertThat(ask(links)).isEqualTo(new PeerMessage.Unreachable(false));
    }

    @Test
    void anotherNodeAtThePeersAddressIsRefused() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        VmId third = new VmId("entry-02");
        open(third, KEY);
        addresses.put(SECOND, addresses.get(third));

        assertThat(ask(links)).isEqualTo(new PeerMessage.Unreachable(false));
    }

    @Test
    void messageBeyondTheLimitIsNotSentAndTheLinkGoesOn() throws IOException {
        NettyPeerLinks links = open(FIRST, KEY);
        open(SECOND, KEY);
        handlers.get(SECOND)
                .register(
                        PeerMessage.ConfigurationDocument.class,
                        (from, message) -> CompletableFuture.completedFuture(new PeerMessage.Done()));
        PeerMessage huge =
                new PeerMessage.ConfigurationDocument(Optional.of("x".repeat(FrameChannel.FRAME_LIMIT_BYTES + 1)));
        PeerMessage small = new PeerMessage.ConfigurationDocument(Optional.of("x"));

        assertThat(links.ask(SECOND, huge, LONG).toCompletableFuture().join())
                .isEqualTo(new PeerMessage.Unreachable(false));
        assertThat(links.ask(SECOND, small, LONG).toCompletableFuture().join()).isEqualTo(new PeerMessage.Done());
    }

    @Test
    void strangersBytesCloseTheirConnectionAlone() throws IOException {
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
                socket.setSoTimeout((int) LONG.toMillis());
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
        return links.ask(SECOND, QUESTION, LONG).toCompletableFuture().join();
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
                PeerTraffic.IGNORED));
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
