package org.turmericspan.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.turmericspan.errors.BalancerException;

/** Checks on generated paths and queries that each is refused with a result code or reaches the upstream unchanged. */
final class RequestPathTest {
    @Property(seed = "20261204", tries = 2_000)
    void anyUriIsRefusedWithCodeOrStaysUnchanged(@ForAll("uris") String uri) {
        try {
            RequestPath path = RequestPath.parse(uri, null);
            assertThat("/v1/services/" + path.service() + path.path()).isIn(uri, uri + "/");
            assertThat(URI.create("http://upstream" + path.path()).normalize().getRawPath())
                    .isEqualTo(path.path());
        } catch (BalancerException e) {
            assertThat(e.code().number()).isIn(1002, 1003);
        } catch (IllegalArgumentException e) {
            assertThat(e.getMessage()).startsWith("ServiceId takes");
        }
    }

    @Property(seed = "20261205", tries = 500)
    void anyQueryIsRefusedWithCodeOrStaysUnchanged(@ForAll String query) {
        try {
            assertThat(RequestPath.parse("/v1/services/mixing/a", query).path()).isEqualTo("/a?" + query);
        } catch (BalancerException e) {
            assertThat(e.code().number()).isEqualTo(1002);
        }
    }

    @Provide
    Arbitrary<String> uris() {
        Arbitrary<String> tails = Arbitraries.of(
                        "/", ".", "..", "%", "2", "E", "e", "a", "b-", ";", "\\", "\u00e9", "%41")
                .list()
                .ofMaxSize(12)
                .map(parts -> String.join("", parts));
        return Arbitraries.of("/v1/services/", "/v1/services/mixing", "/v1/services/mixing/", "/", "")
                .flatMap(start -> tails.map(tail -> start + tail));
    }
}
