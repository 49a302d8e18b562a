package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses whose status promises callers that nothing ran, from upstreams that do not prove it. */
class UnprovenRefusalTest extends ForwardingFixture {
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void nonIdempotentRequestIsAnsweredWithAnUnknownOutcomeAndNotRepeated(int status) {
        start(2, "/once/1");
        client().call(0).respond(status);
        assertThat(reply().status()).isEqualTo(502);
        assertThat(reply().response().headers().first("signed")).isEmpty();
        assertThat(client().callCount()).isEqualTo(1);
    }

    @Test
    void idempotentRequestGetsTheStatusSinceItMayBeRepeatedAnyway() {
        start(2, "/retry/1");
        client().call(0).respond(429);
        assertThat(reply().status()).isEqualTo(429);
    }

    @Test
    void provenRefusalIsStillRepeatedElsewhere() {
        start(2, "/once/1");
        client().call(0).proveNotRun(503);
        client().call(1).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }

    /** Guards against a second run of a request whose response says that it ran, beside the proof that it did not. */
    @ParameterizedTest
    @ValueSource(ints = {500, 502, 504})
    void errorOfARunIsNoProofWhateverItsHeaders(int status) {
        start(2, "/once/1");
        client().call(0).respondWith(status, "not-run", "1");
        assertThat(reply().status()).isEqualTo(status);
        assertThat(client().callCount()).isEqualTo(1);
    }

    @Test
    void successWithTheProofThatItDidNotRunHasAnUnknownOutcome() {
        start(2, "/once/1");
        client().call(0).respondWith(200, "not-run", "1");
        assertThat(reply().status()).isEqualTo(502);
        assertThat(client().callCount()).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 408, 429, 503})
    void refusalWithTheProofIsRepeatedElsewhere(int status) {
        start(2, "/once/1");
        client().call(0).proveNotRun(status);
        assertThat(client().callCount()).isEqualTo(2);
    }
}
