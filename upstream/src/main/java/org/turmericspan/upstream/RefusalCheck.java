package org.turmericspan.upstream;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.turmericspan.ids.SocketAddress;

/**
 * Checks whether nothing listens at an address any more.
 *
 * @param holdMillis time for which an accepted connection must stay open
 */
record RefusalCheck(int holdMillis) {
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    /** Connections of one check; each one that is broken off may have met the last moment of a process. */
    private static final int CONNECTIONS = 3;

    /** Returns whether the address refuses; false when it takes a connection or says nothing for a while. */
    boolean isRefused(SocketAddress address) {
        for (int i = 0; i < CONNECTIONS; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLIS);
                if (staysOpen(socket)) {
                    return false;
                }
            } catch (ConnectException e) {
                return true;
            } catch (IOException e) {
                return false;
            }
        }
        return false;
    }

    /** Tells whether the other side keeps an accepted connection, which a process that is ending does not. */
    private boolean staysOpen(Socket socket) throws IOException {
        socket.setSoTimeout(holdMillis);
        try {
            return socket.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (SocketException e) {
            return false;
        }
    }
}
