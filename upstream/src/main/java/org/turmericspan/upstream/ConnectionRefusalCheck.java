package org.turmericspan.upstream;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.turmericspan.ids.SocketAddress;

/**
 * Checks whether an address refuses connections because no process listens there any more.
 *
 * @param minOpenMillis time that an accepted connection must stay open to count as held by a running process, in
 *     milliseconds
 */
record ConnectionRefusalCheck(int minOpenMillis) {
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    /** A process may accept a connection just before it exits, so a broken connection is tried again. */
    private static final int CONNECTIONS_PER_CHECK = 3;

    /** Returns true if the address refuses a connection; false if it keeps one open, times out or breaks each one. */
    boolean isRefused(SocketAddress address) {
        for (int i = 0; i < CONNECTIONS_PER_CHECK; i++) {
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

    /** Returns whether the peer keeps an accepted connection open; a process that exits closes it. */
    private boolean staysOpen(Socket socket) throws IOException {
        socket.setSoTimeout(minOpenMillis);
        try {
            return socket.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (SocketException e) {
            return false;
        }
    }
}
