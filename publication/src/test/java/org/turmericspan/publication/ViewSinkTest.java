package org.turmericspan.publication;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.membership.ViewReceiver;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.testkit.ManualClock;

/** Guards against a list of VMs that counts as current while the platform has another one. */
final class ViewSinkTest {
    private static final long REVISION = 271;
    private static final String ACCEPTED = list("entry-01");
    private static final Duration OUTAGE = Duration.ofSeconds(30);

    private final ManualClock clock = new ManualClock();
    private final ViewTable table = new ViewTable(clock);
    private final VmListParser parser = new VmListParser();
    private final ViewSink sink = new ViewSink(
            new ViewReceiver((revision, text) -> parser.parse(new PlatformValue(revision, text)), table), table, clock);

    @Test
    void sameListConfirmsTheAcceptedOne() {
        receive(REVISION, ACCEPTED);
        clock.advance(OUTAGE);

        receive(REVISION, ACCEPTED);
        assertThat(confirmedAge()).isZero();

        clock.advance(OUTAGE);
        sink.confirmed(REVISION, clock.nowNanos());
        assertThat(confirmedAge()).isZero();
    }

    @Test
    void otherListOfTheSameRevisionDoesNotConfirmTheAcceptedOne() {
        receive(REVISION, ACCEPTED);
        clock.advance(OUTAGE);

        receive(REVISION, list("entry-02"));
        assertThat(confirmedAge()).isEqualTo(OUTAGE);

        sink.confirmed(REVISION, clock.nowNanos());
        assertThat(confirmedAge()).isEqualTo(OUTAGE);
    }

    @Test
    void malformedListOfHigherRevisionDoesNotConfirmTheAcceptedOne() {
        receive(REVISION, ACCEPTED);
        clock.advance(OUTAGE);

        assertThatThrownBy(() -> receive(REVISION + 1, "{")).isInstanceOf(BalancerException.class);
        sink.confirmed(REVISION + 1, clock.nowNanos());

        assertThat(confirmedAge()).isEqualTo(OUTAGE);
    }

    @Test
    void listOfLowerRevisionDoesNotConfirmTheAcceptedOne() {
        receive(REVISION, ACCEPTED);
        clock.advance(OUTAGE);

        receive(REVISION - 1, ACCEPTED);
        sink.confirmed(REVISION - 1, clock.nowNanos());

        assertThat(confirmedAge()).isEqualTo(OUTAGE);
    }

    private void receive(long revision, String text) {
        sink.value(new PlatformValue(revision, text), clock.nowNanos());
    }

    private Duration confirmedAge() {
        return Duration.ofNanos(clock.nowNanos() - table.confirmedNanos());
    }

    private static String list(String vm) {
        return "{\"vms\":[{\"name\":\"" + vm + "\",\"availability_zone\":\"zone-a\",\"role\":\"entry\","
                + "\"state\":\"live\"}]}";
    }
}
