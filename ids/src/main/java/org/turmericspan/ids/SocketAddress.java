package org.turmericspan.ids;

/**
 * IP address and port on which a process listens.
 *
 * @param host IP address in text form; an IPv6 address is in brackets
 * @param port 1 to 65535
 */
public record SocketAddress(String host, int port) {
    private static final int MAX_PORT = 65_535;
    private static final int HASH_FACTOR = 31;
    // An IPv6 address of eight groups of four digits, in brackets.
    private static final int MAX_HOST_LENGTH = 41;
    private static final int MAX_PORT_DIGITS = 5;
    private static final int IPV4_OCTETS = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_OCTET_DIGITS = 3;
    private static final int DECIMAL_RADIX = 10;
    private static final int HEXADECIMAL_RADIX = 16;
    private static final String EXPECTED_FORM =
            "SocketAddress takes IP:PORT with an IP number and a port from 1 to " + MAX_PORT;

    /** Checks that the host is not empty and that the port is in range. */
    public SocketAddress {
        if (host.isEmpty() || port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException(EXPECTED_FORM);
        }
    }

    /**
     * Parses the text form. Host names are rejected, so that no connection waits for a DNS lookup.
     *
     * @param text {@code IP:PORT}; an IPv6 address is in brackets
     * @return the address
     * @throws IllegalArgumentException when the text has another form
     */
    public static SocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        if (host.length() > MAX_HOST_LENGTH || !isIpLiteral(host) || !isPortNumber(port)) {
            throw new IllegalArgumentException(EXPECTED_FORM);
        }
        return new SocketAddress(host, Integer.parseInt(port));
    }

    private static boolean isIpLiteral(String host) {
        if (host.startsWith("[") && host.endsWith("]")) {
            return host.indexOf(':') > 0
                    && host.substring(1, host.length() - 1).chars().allMatch(SocketAddress::isIpv6Character);
        }
        return isIpv4Literal(host);
    }

    private static boolean isIpv6Character(int character) {
        return character == ':' || character == '.' || Character.digit(character, HEXADECIMAL_RADIX) >= 0;
    }

    /**
     * Returns whether a host is four numbers from 0 to 255 without leading zeros. A regular expression would slow down
     * startup.
     */
    private static boolean isIpv4Literal(String host) {
        int octets = 0;
        int begin = 0;
        while (begin <= host.length()) {
            int dot = host.indexOf('.', begin);
            int end = dot < 0 ? host.length() : dot;
            if (!isOctet(host, begin, end)) {
                return false;
            }
            octets++;
            begin = end + 1;
        }
        return octets == IPV4_OCTETS;
    }

    private static boolean isOctet(String text, int begin, int end) {
        int length = end - begin;
        if (length < 1 || length > MAX_OCTET_DIGITS || length > 1 && text.charAt(begin) == '0') {
            return false;
        }
        int value = 0;
        for (int i = begin; i < end; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit >= DECIMAL_RADIX) {
                return false;
            }
            value = value * DECIMAL_RADIX + digit;
        }
        return value <= MAX_OCTET;
    }

    private static boolean isPortNumber(String port) {
        return !port.isEmpty()
                && port.length() <= MAX_PORT_DIGITS
                && port.chars().allMatch(character -> character >= '0' && character <= '9');
    }

    // Explicit because a record's generated methods are linked at run time, which slows down startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof SocketAddress that && port == that.port && host.equals(that.host);
    }

    @Override
    public int hashCode() {
        return host.hashCode() * HASH_FACTOR + port;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
