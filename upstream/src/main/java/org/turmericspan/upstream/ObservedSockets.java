package org.turmericspan.upstream;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/** Creates sockets that show what was received on them. */
final class ObservedSockets extends SocketFactory {
    @Override
    public Socket createSocket() {
        return new ObservedSocket();
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return connect(new ObservedSocket(), new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return connect(new ObservedSocket(), new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
        return createSocket(InetAddress.getByName(host), port, localHost, localPort);
    }

    @Override
    public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort) throws IOException {
        Socket socket = new ObservedSocket();
        socket.bind(new InetSocketAddress(localHost, localPort));
        return connect(socket, new InetSocketAddress(host, port));
    }

    private static Socket connect(Socket socket, InetSocketAddress address) throws IOException {
        socket.connect(address);
        return socket;
    }
}
