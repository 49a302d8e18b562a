package org.turmericspan.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.turmericspan.config.ConfigurationReader;
import org.turmericspan.testkit.ManualClock;

final class ConfigurationReceiverTest {
    private static final String FIRST_DOCUMENT = "{\"version\": 1, \"objects\": []}";
    private static final String SECOND_DOCUMENT = "{\"version\": 2, \"objects\": []}";
    private static final String INVALID_DOCUMENT = "{\"version\": 3, \"objects\": [{\"kind\": \"Upstream\"}]}";

    private final ManualClock clock = new ManualClock();
    private final ConfigurationTable table = new ConfigurationTable(clock);
    private final List<RejectedConfiguration> newlyRejected = new ArrayList<>();
    private final ConfigurationReceiver receiver = new ConfigurationReceiver(table, clock, newlyRejected::add);

    @Test
    void newestDocumentIsPendingUntilActivation() {
        assertThat(receiver.offer(SECOND_DOCUMENT, "peer")).isEqualTo(ConfigurationReceiver.Outcome.PENDING);
        assertThat(receiver.offer(FIRST_DOCUMENT, "platform")).isEqualTo(ConfigurationReceiver.Outcome.NOT_NEWER);

        assertThat(table.version().number()).isZero();
        receiver.activate();
        assertThat(table.version().number()).isEqualTo(2);
    }

    @Test
    void stalePlatformDoesNotReplaceNewerConfiguration() {
        receiver.activate();
        receiver.offer(SECOND_DOCUMENT, "peer");

        assertThat(receiver.offer(FIRST_DOCUMENT, "platform")).isEqualTo(ConfigurationReceiver.Outcome.NOT_NEWER);
        assertThat(table.version().number()).isEqualTo(2);
    }

    @Test
    void invalidDocumentIsRejectedOnceAndActiveConfigurationStays() {
        receiver.activate();
        receiver.offer(FIRST_DOCUMENT, "platform");

        assertThat(receiver.offer(INVALID_DOCUMENT, "platform")).isEqualTo(ConfigurationReceiver.Outcome.REJECTED);
        assertThat(receiver.offer(INVALID_DOCUMENT, "peer")).isEqualTo(ConfigurationReceiver.Outcome.REJECTED);
        assertThat(newlyRejected).hasSize(1);
        assertThat(receiver.rejected()).hasSize(1);
        assertThat(receiver.isRejected(ConfigurationReader.digest(INVALID_DOCUMENT)))
                .isTrue();
        assertThat(table.version().number()).isEqualTo(1);
    }

    @Test
    void documentsWithTheSameNumberConvergeInAnyOrder() {
        String other = "{\"version\": 2,  \"objects\": []}";
        String newer = Stream.of(SECOND_DOCUMENT, other)
                .max((a, b) -> ConfigurationReader.digest(a).compareTo(ConfigurationReader.digest(b)))
                .orElseThrow();
        ConfigurationTable reverseTable = new ConfigurationTable(clock);
        ConfigurationReceiver reverseReceiver = new ConfigurationReceiver(reverseTable, clock, newlyRejected::add);
        receiver.activate();
        reverseReceiver.activate();

        receiver.offer(SECOND_DOCUMENT, "one");
        receiver.offer(other, "two");
        reverseReceiver.offer(other, "two");
        reverseReceiver.offer(SECOND_DOCUMENT, "one");

        assertThat(table.current().document()).isEqualTo(newer);
        assertThat(reverseTable.current().document()).isEqualTo(newer);
    }
}
