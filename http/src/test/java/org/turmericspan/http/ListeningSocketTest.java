package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.SocketAddress;

class ListeningSocketTest {
    private static final String LOOPBACK = "127.0.0.1";

    @Test
    void callersConnectBeforeAListenerTakesThem() throws IOException {
        try (ListeningSocket socket = ListeningSocket.bind(new SocketAddress(LOOPBACK, freePort()));
                Socket caller = new Socket()) {
            caller.connect(socket.channel().getLocalAddress(), 1_000);
            assertThat(caller.isConnected()).isTrue();
        }
    }

    @Test
    void addressInUseIsNamed() throws IOException {
        try (ServerSocket taken = new ServerSocket()) {
            taken.bind(new InetSocketAddress(LOOPBACK, 0));
            SocketAddress address = new SocketAddress(LOOPBACK, taken.getLocalPort());
            assertThatThrownBy(() -> ListeningSocket.bind(address))
                    .isInstanceOf(UncheckedIOException.class)
                    .hasMessageContaining(address.toString());
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
