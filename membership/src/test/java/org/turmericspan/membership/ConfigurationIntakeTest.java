package org.turmericspan.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.turmericspan.config.ConfigurationReader;
import org.turmericspan.testkit.ManualClock;

final class ConfigurationIntakeTest {
    private static final String FIRST = "{\"version\": 1, \"objects\": []}";
    private static final String SECOND = "{\"version\": 2, \"objects\": []}";
    private static final String BROKEN = "{\"version\": 3, \"objects\": [{\"kind\": \"Upstream\"}]}";

    private final ManualClock clock = new ManualClock();
    private final ConfigurationTable table = new ConfigurationTable(clock);
    private final List<RejectedConfiguration> refused = new ArrayList<>();
    private final ConfigurationReceiver receiver = new ConfigurationReceiver(table, clock, refused::add);

    @Test
    void closedIntakeHoldsTheHighestDocumentBack() {
        assertThat(receiver.offer(SECOND, "peer")).isEqualTo(ConfigurationReceiver.Outcome.HELD);
        assertThat(receiver.offer(FIRST, "platform")).isEqualTo(ConfigurationReceiver.Outcome.NOT_HIGHER);

        assertThat(table.version().number()).isZero();
        receiver.open();
        assertThat(table.version().number()).isEqualTo(2);
    }

    @Test
    void stalePlatformDoesNotTurnBackWhatIsInForce() {
        receiver.open();
        receiver.offer(SECOND, "peer");

        assertThat(receiver.offer(FIRST, "platform")).isEqualTo(ConfigurationReceiver.Outcome.NOT_HIGHER);
        assertThat(table.version().number()).isEqualTo(2);
    }

    @Test
    void brokenDocumentIsRefusedOnceAndTheOldStays() {
        receiver.open();
        receiver.offer(FIRST, "platform");

        assertThat(receiver.offer(BROKEN, "platform")).isEqualTo(ConfigurationReceiver.Outcome.REFUSED);
        assertThat(receiver.offer(BROKEN, "peer")).isEqualTo(ConfigurationReceiver.Outcome.REFUSED);
        assertThat(refused).hasSize(1);
        assertThat(receiver.rejected()).hasSize(1);
        assertThat(receiver.isRefused(ConfigurationReader.digest(BROKEN))).isTrue();
        assertThat(table.version().number()).isEqualTo(1);
    }

    @Test
    void documentsOfTheSameNumberConvergeInAnyOrder() {
        String other = "{\"version\": 2,  \"objects\": []}";
        String higher = Stream.of(SECOND, other)
                .max((a, b) -> ConfigurationReader.digest(a).compareTo(ConfigurationReader.digest(b)))
                .orElseThrow();
        ConfigurationTable reverse = new ConfigurationTable(clock);
        ConfigurationReceiver reverseIntake = new ConfigurationReceiver(reverse, clock, refused::add);
        receiver.open();
        reverseIntake.open();

        receiver.offer(SECOND, "one");
        receiver.offer(other, "two");
        reverseIntake.offer(other, "two");
        reverseIntake.offer(SECOND, "one");

        assertThat(table.current().document()).isEqualTo(higher);
        assertThat(reverse.current().document()).isEqualTo(higher);
    }
}
