package org.turmericspan.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

final class RefusedConnectionTest {
    private static final String HOST = "127.0.0.1";
    /** Waits for the death of the server for longer than a busy machine takes to run its thread. */
    private static final RefusalCheck PATIENT = new RefusalCheck(20_000);

    private final HttpUpstreamSender sender = new HttpUpstreamSender(MonotonicClock.system());

    @AfterEach
    void close() {
        sender.close();
    }

    @Test
    void upstreamThatListensDoesNotRefuse() throws IOException {
        try (ServerSocket server = listen()) {
            assertThat(isRefused(server.getLocalPort())).isFalse();
        }
    }

    @Test
    void upstreamThatDoesNotListenRefuses() throws IOException {
        int port;
        try (ServerSocket server = listen()) {
            port = server.getLocalPort();
        }

        assertThat(isRefused(port)).isTrue();
    }

    @Test
    void upstreamThatDiesWhileItIsCheckedRefuses() throws IOException {
        try (ServerSocket server = listen()) {
            CompletableFuture.runAsync(() -> acceptAndDie(server));

            assertThat(PATIENT.isRefused(new SocketAddress(HOST, server.getLocalPort())))
                    .isTrue();
        }
    }

    private boolean isRefused(int port) {
        return sender.isRefused(new SocketAddress(HOST, port))
                .toCompletableFuture()
                .join();
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getByName(HOST));
    }

    /** Takes one connection, stops listening, and then breaks the connection, as a process does that ends. */
    private static void acceptAndDie(ServerSocket server) {
        try (Socket accepted = server.accept()) {
            accepted.setSoLinger(true, 0);
            server.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
