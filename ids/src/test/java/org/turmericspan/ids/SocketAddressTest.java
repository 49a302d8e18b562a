package org.turmericspan.ids;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the text form of socket addresses. */
final class SocketAddressTest {
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    @Property(seed = "20261204", tries = 200)
    void parsedIpv4AddressPrintsTheSameText(
            @ForAll @IntRange(max = MAX_OCTET) int first,
            @ForAll @IntRange(max = MAX_OCTET) int second,
            @ForAll @IntRange(max = MAX_OCTET) int last,
            @ForAll @IntRange(min = 1, max = MAX_PORT) int port) {
        String text = first + "." + second + ".0." + last + ":" + port;

        assertThat(SocketAddress.parse(text)).hasToString(text);
    }

    @Example
    void ipv6HostKeepsItsBrackets() {
        assertThat(SocketAddress.parse("[fe80::1]:80").host()).isEqualTo("[fe80::1]");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "", "1.2.3.4", "1.2.3:80", "1.2.3.4.5:80", "1.2.3.256:80", "1.2.3.04:80", "1.2.3.:80", "a.b.c.d:80",
                "host:80", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:x", "[g::1]:80", "[]:80", "1.2.3.-4:80", "1.2.3.4 :80"
            })
    void malformedTextIsRejected(String text) {
        assertThatThrownBy(() -> SocketAddress.parse(text)).isInstanceOf(IllegalArgumentException.class);
    }
}
