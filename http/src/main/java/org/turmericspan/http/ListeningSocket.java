package org.turmericspan.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.turmericspan.ids.SocketAddress;

/**
 * A bound socket. The system keeps its connections until a listener takes them, so that a process that is still
 * starting does not refuse callers.
 */
public final class ListeningSocket implements AutoCloseable {
    /** Connections that may wait to be accepted. */
    private static final int BACKLOG = 1_024;

    private final ServerSocketChannel channel;

    private ListeningSocket(ServerSocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Binds an address.
     *
     * @param address where to listen
     * @return the socket
     * @throws UncheckedIOException when the address cannot be bound
     */
    public static ListeningSocket bind(SocketAddress address) {
        try {
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
            return new ListeningSocket(channel);
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen on " + address, e);
        }
    }

    ServerSocketChannel channel() {
        return channel;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
