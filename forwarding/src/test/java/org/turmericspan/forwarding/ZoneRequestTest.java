package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.RouteId;
import org.turmericspan.zones.RequestKind;
import org.turmericspan.zones.ZonePreference;

/** Checks what a request tells of demand, and by which draw its zone is chosen. */
class ZoneRequestTest extends ForwardingFixture {
    private final List<Double> draws = new ArrayList<>();

    private void recordDraws() {
        upstreams().shareZones((service, route, draw) -> {
            draws.add(draw);
            return ZonePreference.UNDECIDED;
        });
    }

    @Test
    void demandIsToldOnceForARequestWithTwoAttempts() {
        start(2, "/retry/1");
        client().call(0).proveNotRun(503);
        client().call(1).respond(200);
        long targetNanos = TimeUnit.MILLISECONDS.toNanos(300);
        assertThat(observer().begun()).containsExactly(new RequestKind(new RouteId("r/retry/"), 0, targetNanos, 1));
        assertThat(observer().answerBytes()).containsExactly((long) "answer 200".length());
    }

    @Test
    void allChoicesForARequestHaveTheSameDraw() {
        recordDraws();
        start(2, "/retry/1");
        client().call(0).proveNotRun(503);
        assertThat(draws).hasSizeGreaterThan(2);
        assertThat(new HashSet<>(draws)).hasSize(1);
        assertThat(draws.get(0)).isBetween(0.0, 1.0);
    }
}
