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

/**
 * Guards against taking a crashing upstream for a running one, because it accepted a connection just before its process
 * exited.
 */
final class RefusedConnectionTest {
    private static final String HOST = "127.0.0.1";
    /** Waits for the server to close for longer than a busy machine takes to schedule its thread. */
    private static final ConnectionRefusalCheck CHECK_WITH_LONG_WAIT = new ConnectionRefusalCheck(20_000);

    private final HttpUpstreamSender sender = new HttpUpstreamSender(MonotonicClock.system());

    @AfterEach
    void close() {
        sender.close();
    }

    @Test
    void listeningUpstreamIsNotRefused() throws IOException {
        try (ServerSocket server = listen()) {
            assertThat(isRefused(server.getLocalPort())).isFalse();
        }
    }

    @Test
    void closedPortIsRefused() throws IOException {
        int port;
        try (ServerSocket server = listen()) {
            port = server.getLocalPort();
        }

        assertThat(isRefused(port)).isTrue();
    }

    @Test
    void upstreamThatDiesWhileItIsCheckedRefuses() throws IOException {
        try (ServerSocket server = listen()) {
            CompletableFuture.runAsync(() -> acceptAndCrash(server));

            assertThat(CHECK_WITH_LONG_WAIT.isRefused(new SocketAddress(HOST, server.getLocalPort())))
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

    /** Accepts one connection, stops listening and then resets the connection, as a process that exits does. */
    private static void acceptAndCrash(ServerSocket server) {
        try (Socket accepted = server.accept()) {
            accepted.setSoLinger(true, 0);
            server.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
