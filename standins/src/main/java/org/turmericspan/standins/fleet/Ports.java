package org.turmericspan.standins.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free ports below the ephemeral range, from which the system takes the local ports of outgoing connections. */
public final class Ports {
    private static final int MIN_PORT = 10_000;
    private static final int MAX_PORT_EXCLUSIVE = 30_000;

    private Ports() {}

    /**
     * Finds free ports.
     *
     * @param count number of ports
     * @return distinct ports on which nothing listens
     */
    public static List<Integer> free(int count) {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT_EXCLUSIVE);
            if (!ports.contains(port) && isFree(port)) {
                ports.add(port);
            }
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
