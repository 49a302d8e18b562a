package org.turmericspan.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.LocateResult;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.FleetView;
import org.turmericspan.membership.Vm;
import org.turmericspan.testkit.ManualClock;

/** Tests which nodes are located for a service, in which order and with which weight. */
final class OwnerLocatorTest {
    private static final List<Upstream> UPSTREAMS = Fixtures.upstreams(8);

    private final ManualClock clock = new ManualClock();
    private final Random random = new Random(1);
    private OwnershipMap ownershipMap = ownershipMap(Fixtures.entryVms(4), Set.of());
    private final OwnerLocator locator =
            new OwnerLocator(() -> ownershipMap, Duration.ofSeconds(5), clock, random::nextDouble);

    @Test
    void unknownServiceIsNotLocated() {
        assertThat(locator.locate(new ServiceId("unknown"))).isEmpty();
    }

    @Test
    void everyOwnerIsReturnedWithItsSlotsAsWeight() {
        assertThat(locate()).hasSize(4).allMatch(endpoint -> endpoint.weight() > 0);
        assertThat(locate().stream().mapToInt(LocateResult.Endpoint::weight).sum())
                .isEqualTo(8 * 3 * 4);
    }

    @Test
    void nodeOutOfServiceIsNotReturned() {
        ownershipMap = ownershipMap(Fixtures.entryVms(4), Set.of(new VmId("entry-2")));

        assertThat(locate()).extracting(LocateResult.Endpoint::vm).doesNotContain(new VmId("entry-2"));
    }

    @Test
    void upstreamsOutOfServiceAddNoWeight() {
        int before = weight();
        ownershipMap =
                ownershipMap(Fixtures.entryVms(4), Set.of(UPSTREAMS.get(0).vm()));

        assertThat(weight()).isEqualTo(before - 3 * 4);
    }

    @Test
    void weightOfAReturnedNodeRisesDuringSlowStart() {
        ownershipMap = ownershipMap(Fixtures.entryVms(3), Set.of());
        locate();
        ownershipMap = ownershipMap(Fixtures.entryVms(4), Set.of());
        VmId returned = new VmId("entry-3");
        int atReturn = weightOf(returned);
        clock.advance(Duration.ofSeconds(20));

        assertThat(weightOf(returned)).isEqualTo(4 * atReturn);
    }

    @Test
    void callersSpreadEvenlyOverNodesOfEqualWeight() {
        Map<VmId, Integer> first = new HashMap<>();
        for (int i = 0; i < 4_000; i++) {
            first.merge(locate().get(0).vm(), 1, Integer::sum);
        }

        assertThat(first).hasSize(4);
        assertThat(first.values()).allMatch(count -> count > 800 && count < 1_200);
    }

    @Test
    void everyCandidateIsReturnedWhenNoUpstreamIsInService() {
        ownershipMap = ownershipMap(
                Fixtures.entryVms(4),
                Set.copyOf(UPSTREAMS.stream().map(Upstream::vm).toList()));

        assertThat(locate()).hasSize(4);
    }

    @Test
    void ownershipMapIsRecomputedOnlyAfterAChange() {
        var configuration = Fixtures.configuration(1, UPSTREAMS, Fixtures.service(3, 1));
        List<FleetView> views = new ArrayList<>(List.of(Fixtures.view(1, Fixtures.entryVms(4))));
        var cached = OwnershipMap.cached(() -> configuration, () -> views.get(views.size() - 1));
        OwnershipMap first = cached.get();

        assertThat(cached.get()).isSameAs(first);
        views.add(Fixtures.view(2, Fixtures.entryVms(3)));
        assertThat(cached.get()).isNotSameAs(first);
    }

    private List<LocateResult.Endpoint> locate() {
        return locator.locate(Fixtures.SERVICE).orElseThrow().addresses();
    }

    private int weight() {
        return locate().stream().mapToInt(LocateResult.Endpoint::weight).sum();
    }

    private int weightOf(VmId vm) {
        return locate().stream()
                .filter(endpoint -> endpoint.vm().equals(vm))
                .mapToInt(LocateResult.Endpoint::weight)
                .sum();
    }

    private static OwnershipMap ownershipMap(List<Vm> entryVms, Set<VmId> outOfService) {
        return OwnershipMap.of(
                Fixtures.configuration(1, UPSTREAMS, Fixtures.service(3, 1), outOfService), Fixtures.view(1, entryVms));
    }
}
