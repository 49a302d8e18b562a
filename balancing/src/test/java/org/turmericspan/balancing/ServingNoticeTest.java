package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;

/** Upstreams that say in their responses that they leave, or that they want no requests for a time. */
class ServingNoticeTest {
    private static final ServingNotice LEAVING = new ServingNotice(true, 0, false);
    private static final UpstreamId FIRST = new UpstreamId("u-1");
    private static final UpstreamId SECOND = new UpstreamId("u-2");

    private final ManualClock clock = new ManualClock();
    private final ConfigurationHolder configuration = new ConfigurationHolder();
    private final UpstreamTable table = new UpstreamTable(
            Samples.LOCAL_ZONE, registration -> true, Samples.RULES, configuration, clock, new SplittableRandom(1));

    ServingNoticeTest() {
        configuration.accept(Samples.configuration(1));
        clock.advance(Duration.ofSeconds(100));
        add(FIRST);
        add(SECOND);
    }

    private static ServingNotice pause(long millis) {
        return new ServingNotice(false, TimeUnit.MILLISECONDS.toNanos(millis), false);
    }

    private void add(UpstreamId id) {
        table.register(Samples.registration(id.value(), Samples.LOCAL_ZONE));
        observe(id);
    }

    private void observe(UpstreamId id) {
        table.recordObservation(id, Samples.observation(clock.nowNanos(), 100));
    }

    private void advance(long millis) {
        clock.advance(Duration.ofMillis(millis));
        observe(FIRST);
        observe(SECOND);
    }

    private Optional<Placement> choose() {
        return table.choose(Samples.criteria());
    }

    private List<UpstreamId> chosen(int count) {
        List<UpstreamId> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            choose().ifPresent(placement -> {
                ids.add(placement.upstream());
                table.finish(placement, AttemptResult.SUCCESS);
            });
        }
        return ids;
    }

    @Test
    void leavingUpstreamGetsNoMoreRequests() {
        assertThat(table.recordNotice(FIRST, LEAVING)).isTrue();
        assertThat(table.recordNotice(FIRST, LEAVING)).isFalse();
        assertThat(chosen(20)).hasSize(20).containsOnly(SECOND);
    }

    @Test
    void requestIsRefusedRatherThanSentToALeavingUpstream() {
        table.recordNotice(FIRST, LEAVING);
        table.recordNotice(SECOND, LEAVING);
        assertThat(choose()).isEmpty();
        assertThat(table.untilAdmissionNanos(Samples.criteria())).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void markOutlivesTheRegistration() {
        table.recordNotice(FIRST, LEAVING);
        table.remove(FIRST);
        add(FIRST);
        assertThat(chosen(20)).containsOnly(SECOND);
    }

    @Test
    void markEndsWithTheIncarnation() {
        table.recordNotice(FIRST, LEAVING);
        table.remove(SECOND);
        Registration old = Samples.registration("u-1", Samples.LOCAL_ZONE);
        table.register(new Registration(
                FIRST, old.service(), old.address(), old.availabilityZone(), 3, false, 2, old.coldUntilNanos()));
        advance(10);
        assertThat(chosen(1)).containsOnly(FIRST);
    }

    @Test
    void laterUpstreamAtTheSameAddressHasNoMark() {
        table.recordNotice(FIRST, LEAVING);
        table.remove(FIRST);
        table.remove(SECOND);
        UpstreamId later = new UpstreamId("u-3");
        add(later);
        assertThat(chosen(1)).containsOnly(later);
    }

    @Test
    void leavingAndPausedUpstreamsAreNotProbed() {
        table.recordNotice(FIRST, LEAVING);
        table.recordNotice(SECOND, pause(500));
        clock.advance(Duration.ofSeconds(10));
        assertThat(table.mayProbe(FIRST)).isFalse();
        assertThat(table.probeTargets(false, 0, 0)).extracting(Registration::id).containsExactly(SECOND);

        table.recordNotice(SECOND, pause(500));
        assertThat(table.mayProbe(SECOND)).isFalse();
        assertThat(table.probeTargets(false, 0, 0)).isEmpty();
        assertThat(table.candidatesToProbe(Samples.criteria())).isEmpty();
    }

    @Test
    void pausedUpstreamGetsNoRequestsUntilTheEnd() {
        table.recordNotice(FIRST, pause(2_000));
        advance(1_999);
        assertThat(chosen(20)).containsOnly(SECOND);
        advance(2);
        assertThat(chosen(20)).contains(FIRST);
    }

    @Test
    void shorterPauseDoesNotEndALongerOne() {
        table.recordNotice(FIRST, pause(2_000));
        table.recordNotice(FIRST, pause(100));
        advance(1_500);
        assertThat(chosen(20)).containsOnly(SECOND);
    }

    @Test
    void requestsReturnInStepsAfterAPause() {
        table.recordNotice(SECOND, LEAVING);
        table.recordNotice(FIRST, pause(1_000));
        advance(1_001);
        assertThat(choose()).isPresent();
        assertThat(choose()).isEmpty();
        advance(100);
        assertThat(choose()).isPresent();
        assertThat(choose()).isEmpty();
    }

    @Test
    void earliestEndOfAPauseIsKnown() {
        table.recordNotice(FIRST, pause(2_000));
        assertThat(table.untilAdmissionNanos(Samples.criteria())).isZero();
        table.recordNotice(SECOND, pause(1_000));
        assertThat(table.untilAdmissionNanos(Samples.criteria())).isEqualTo(TimeUnit.SECONDS.toNanos(1));
    }

    @Test
    void noticeOfAnUnknownUpstreamHasNoEffect() {
        assertThat(table.recordNotice(new UpstreamId("u-9"), LEAVING)).isFalse();
    }
}
