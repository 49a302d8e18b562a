package org.turmericspan.ids;

/**
 * IP number and port of a process.
 *
 * @param host IP number in text form
 * @param port 1 to 65535
 */
public record SocketAddress(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks the range of the port. */
    public SocketAddress {
        if (host.isEmpty() || port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("SocketAddress takes HOST:PORT with a port from 1 to " + MAX_PORT);
        }
    }

    /**
     * Reads the text form.
     *
     * @param text {@code HOST:PORT}
     * @return the address
     * @throws IllegalArgumentException when the text has another form
     */
    public static SocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("SocketAddress takes HOST:PORT");
        }
        try {
            return new SocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("SocketAddress takes HOST:PORT", e);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
