package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.ServiceId;

class WeightedRoundRobinTest {
    @Test
    void sharesAreKeptToWithinOneRequest() {
        ServiceId otherService = new ServiceId("floor");
        Route route =
                Samples.route("/a/", new WeightedService(Samples.SERVICE, 7), new WeightedService(otherService, 3));
        WeightedRoundRobin roundRobin = new WeightedRoundRobin(new SplittableRandom(3));
        int otherCount = 0;
        for (int i = 1; i <= 100; i++) {
            otherCount += roundRobin.next(route).equals(otherService) ? 1 : 0;
            assertThat(Math.abs(otherCount - 0.3 * i)).isLessThanOrEqualTo(1.5);
        }
    }
}
