package org.turmericspan.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.turmericspan.config.ConfigurationReader;
import org.turmericspan.testkit.ManualClock;

final class ConfigurationReceiverTest {
    private static final String FIRST = "{\"version\": 1, \"objects\": []}";
    private static final String SECOND = "{\"version\": 2, \"objects\": []}";
    private static final String INVALID = "{\"version\": 3, \"objects\": [{\"kind\": \"Upstream\"}]}";

    private final ManualClock clock = new ManualClock();
    private final ConfigurationTable table = new ConfigurationTable(clock);
    private final List<RejectedConfiguration> newlyRejected = new ArrayList<>();
    private final ConfigurationReceiver receiver = new ConfigurationReceiver(table, clock, newlyRejected::add);

    @Test
    void newestDocumentIsPendingUntilActivation() {
        assertThat(receiver.offer(SECOND, "peer")).isEqualTo(ConfigurationReceiver.Outcome.PENDING);
        assertThat(receiver.offer(FIRST, "platform")).isEqualTo(ConfigurationReceiver.Outcome.NOT_NEWER);

        assertThat(table.version().number()).isZero();
        receiver.activate();
        assertThat(table.version().number()).isEqualTo(2);
    }

    @Test
    void stalePlatformDoesNotReplaceNewerConfiguration() {
        receiver.activate();
        receiver.offer(SECOND, "peer");

        assertThat(receiver.offer(FIRST, "platform")).isEqualTo(ConfigurationReceiver.Outcome.NOT_NEWER);
        assertThat(table.version().number()).isEqualTo(2);
    }

    @Test
    void invalidDocumentIsRejectedOnceAndActiveConfigurationStays() {
        receiver.activate();
        receiver.offer(FIRST, "platform");

        assertThat(receiver.offer(INVALID, "platform")).isEqualTo(ConfigurationReceiver.Outcome.REJECTED);
        assertThat(receiver.offer(INVALID, "peer")).isEqualTo(ConfigurationReceiver.Outcome.REJECTED);
        assertThat(newlyRejected).hasSize(1);
        assertThat(receiver.rejected()).hasSize(1);
        assertThat(receiver.isRejected(ConfigurationReader.digest(INVALID))).isTrue();
        assertThat(table.version().number()).isEqualTo(1);
    }

    @Test
    void documentsWithTheSameNumberConvergeInAnyOrder() {
        String other = "{\"version\": 2,  \"objects\": []}";
        String newer = Stream.of(SECOND, other)
                .max((a, b) -> ConfigurationReader.digest(a).compareTo(ConfigurationReader.digest(b)))
                .orElseThrow();
        ConfigurationTable reverseTable = new ConfigurationTable(clock);
        ConfigurationReceiver reverseReceiver = new ConfigurationReceiver(reverseTable, clock, newlyRejected::add);
        receiver.activate();
        reverseReceiver.activate();

        receiver.offer(SECOND, "one");
        receiver.offer(other, "two");
        reverseReceiver.offer(other, "two");
        reverseReceiver.offer(SECOND, "one");

        assertThat(table.current().document()).isEqualTo(newer);
        assertThat(reverseTable.current().document()).isEqualTo(newer);
    }
}
