package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.ServiceId;

class WeightedRoundRobinTest {
    @Test
    void sharesAreKeptToWithinOneRequest() {
        ServiceId other = new ServiceId("floor");
        Route route = Samples.route("/a/", new WeightedService(Samples.SERVICE, 7), new WeightedService(other, 3));
        WeightedRoundRobin roundRobin = new WeightedRoundRobin(new SplittableRandom(3));
        int count = 0;
        for (int i = 1; i <= 100; i++) {
            count += roundRobin.next(route).equals(other) ? 1 : 0;
            assertThat(Math.abs(count - 0.3 * i)).isLessThanOrEqualTo(1.5);
        }
    }
}
