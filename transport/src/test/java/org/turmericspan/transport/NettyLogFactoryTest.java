package org.turmericspan.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.internal.logging.InternalLogger;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.JsonEventLog;
import org.turmericspan.testkit.ManualClock;

/** Tests which of Netty's log lines reach the event log. */
final class NettyLogFactoryTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final JsonEventLog log = new JsonEventLog("n1", new ManualClock(), () -> 0, output);
    private final InternalLogger logger = new NettyLogFactory(log).newInstance("a.Logger");

    @Test
    void warningIsWrittenWithLoggerAndArguments() {
        logger.warn("Unexpected {}", "thing");

        assertThat(lines())
                .contains("\"event\":\"Warning.\"")
                .contains("\"logger\":\"a.Logger\"")
                .contains("\"arguments\":\"[thing]\"");
    }

    @Test
    void errorIsWrittenWithCause() {
        logger.error("Failed", new IllegalStateException("why"));

        assertThat(lines())
                .contains("\"event\":\"Error.\"")
                .contains("\"arguments\":\"[java.lang.IllegalStateException: why]\"");
    }

    @Test
    void levelsBelowWarningAreDropped() {
        logger.info("started");
        logger.debug("value {}", 1);

        assertThat(lines()).isEmpty();
    }

    private String lines() {
        log.close();
        return output.toString(StandardCharsets.UTF_8);
    }
}
