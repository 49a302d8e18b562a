package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against the promise that a request did not run whose response had a header that the node could not read. */
class UnreadableNoticeTest extends ForwardingFixture {
    @ParameterizedTest
    @ValueSource(strings = {"/once/1", "/retry/1"})
    void responseIsPassedOnWithoutTheLoadThatItReports(String path) {
        start(2, path);
        client().call(0).respondWith(200, "load", "unreadable");
        assertThat(reply().status()).isEqualTo(200);
        assertThat(client().callCount()).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void unprovenRefusalWithItLeavesTheOutcomeUnknown(int status) {
        start(2, "/once/1");
        client().call(0).respondWith(status, "load", "unreadable");
        assertThat(reply().status()).isEqualTo(502);
        assertThat(client().callCount()).isEqualTo(1);
    }

    @Test
    void outcomeIsUnknownAtTheDeadlineIfTheNodeFailsAtTheResponse() {
        start(2, "/once/1");
        assertThatThrownBy(() -> client().call(0).respondWith(200, "fault", "1"))
                .hasMessageContaining("fault");
        worker().advance(Duration.ofMillis(950));
        assertThat(reply().status()).isEqualTo(504);
    }

    @Test
    void slotOfTheAttemptIsFreeAgain() {
        start(1, "/once/0");
        client().call(0).respondWith(200, "load", "unreadable");
        for (int i = 1; i <= 3; i++) {
            send("/once/" + i, new FakeReply(worker()));
        }
        worker().advance(Duration.ofMillis(20));
        assertThat(client().callCount()).isEqualTo(4);
    }
}
