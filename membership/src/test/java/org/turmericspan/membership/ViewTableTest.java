package org.turmericspan.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.VmId;
import org.turmericspan.testkit.ManualClock;

/** Guards against a list of VMs that counts as current although another one has its revision. */
final class ViewTableTest {
    private static final FleetView ACCEPTED = view(271, "entry-01");
    private static final Duration OUTAGE = Duration.ofSeconds(30);

    private final ManualClock clock = new ManualClock();
    private final ViewTable table = new ViewTable(clock);

    @Test
    void otherViewOfTheSameRevisionNeitherReplacesNorConfirmsTheAcceptedOne() {
        table.offer(ACCEPTED);
        long confirmedNanos = table.confirmedNanos();
        clock.advance(OUTAGE);

        assertThat(table.offer(view(271, "entry-02"))).isFalse();

        assertThat(table.current()).isEqualTo(ACCEPTED);
        assertThat(table.confirmedNanos()).isEqualTo(confirmedNanos);
    }

    @Test
    void equalViewConfirmsTheAcceptedOne() {
        table.offer(ACCEPTED);
        clock.advance(OUTAGE);

        assertThat(table.offer(view(271, "entry-01"))).isFalse();

        assertThat(table.confirmedNanos()).isEqualTo(clock.nowNanos());
    }

    private static FleetView view(long revision, String vm) {
        return FleetView.of(
                revision,
                List.of(new Vm(
                        new VmId(vm),
                        new AvailabilityZoneId("zone-a"),
                        Vm.Role.ENTRY,
                        false,
                        Optional.empty(),
                        Optional.empty())));
    }
}
