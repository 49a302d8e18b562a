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
    private final List<Refusal> refused = new ArrayList<>();
    private final ConfigurationIntake intake = new ConfigurationIntake(table, clock, refused::add);

    @Test
    void closedIntakeHoldsTheHighestDocumentBack() {
        assertThat(intake.offer(SECOND, "peer")).isEqualTo(ConfigurationIntake.Outcome.HELD);
        assertThat(intake.offer(FIRST, "platform")).isEqualTo(ConfigurationIntake.Outcome.NOT_HIGHER);

        assertThat(table.version().number()).isZero();
        intake.open();
        assertThat(table.version().number()).isEqualTo(2);
    }

    @Test
    void stalePlatformDoesNotTurnBackWhatIsInForce() {
        intake.open();
        intake.offer(SECOND, "peer");

        assertThat(intake.offer(FIRST, "platform")).isEqualTo(ConfigurationIntake.Outcome.NOT_HIGHER);
        assertThat(table.version().number()).isEqualTo(2);
    }

    @Test
    void brokenDocumentIsRefusedOnceAndTheOldStays() {
        intake.open();
        intake.offer(FIRST, "platform");

        assertThat(intake.offer(BROKEN, "platform")).isEqualTo(ConfigurationIntake.Outcome.REFUSED);
        assertThat(intake.offer(BROKEN, "peer")).isEqualTo(ConfigurationIntake.Outcome.REFUSED);
        assertThat(refused).hasSize(1);
        assertThat(intake.refusals()).hasSize(1);
        assertThat(intake.isRefused(ConfigurationReader.digest(BROKEN))).isTrue();
        assertThat(table.version().number()).isEqualTo(1);
    }

    @Test
    void documentsOfTheSameNumberConvergeInAnyOrder() {
        String other = "{\"version\": 2,  \"objects\": []}";
        String higher = Stream.of(SECOND, other)
                .max((a, b) -> ConfigurationReader.digest(a).compareTo(ConfigurationReader.digest(b)))
                .orElseThrow();
        ConfigurationTable reverse = new ConfigurationTable(clock);
        ConfigurationIntake reverseIntake = new ConfigurationIntake(reverse, clock, refused::add);
        intake.open();
        reverseIntake.open();

        intake.offer(SECOND, "one");
        intake.offer(other, "two");
        reverseIntake.offer(other, "two");
        reverseIntake.offer(SECOND, "one");

        assertThat(table.current().document()).isEqualTo(higher);
        assertThat(reverse.current().document()).isEqualTo(higher);
    }
}
