package org.turmericspan.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.Vm;

/** Properties of the choice of keepers. */
final class KeeperAssignmentTest {
    @Property(seed = "1", tries = 200)
    void noVmKeepsMoreThanTheBound(
            @ForAll @IntRange(min = 1, max = 60) int upstreams, @ForAll @IntRange(min = 1, max = 20) int vms) {
        Map<UpstreamId, VmId> keepers = assign(Fixtures.upstreams(upstreams), Fixtures.entryVms(vms));

        assertThat(keepers).hasSize(upstreams);
        assertThat(keepers.values().stream()
                        .collect(Collectors.groupingBy(vm -> vm, Collectors.counting()))
                        .values())
                .allMatch(kept -> kept <= KeeperAssignment.bound(upstreams, vms));
    }

    @Property(seed = "2", tries = 200)
    void orderOfTheInputDoesNotMatter(
            @ForAll @IntRange(min = 1, max = 60) int upstreams,
            @ForAll @IntRange(min = 1, max = 20) int vms,
            @ForAll long shuffleSeed) {
        List<Upstream> shuffledUpstreams = new ArrayList<>(Fixtures.upstreams(upstreams));
        List<Vm> shuffledVms = new ArrayList<>(Fixtures.entryVms(vms));
        Collections.shuffle(shuffledUpstreams, new Random(shuffleSeed));
        Collections.shuffle(shuffledVms, new Random(shuffleSeed));

        assertThat(assign(shuffledUpstreams, shuffledVms))
                .isEqualTo(assign(Fixtures.upstreams(upstreams), Fixtures.entryVms(vms)));
    }

    @Property(seed = "3", tries = 200)
    void vmThatGoesMovesAtMostThreeTimesTheBound(
            @ForAll @IntRange(min = 8, max = 60) int upstreams,
            @ForAll @IntRange(min = 8, max = 20) int vms,
            @ForAll @IntRange(min = 0, max = 19) int gone) {
        List<Vm> fewer = new ArrayList<>(Fixtures.entryVms(vms));
        fewer.remove(gone % vms);
        Map<UpstreamId, VmId> before = assign(Fixtures.upstreams(upstreams), Fixtures.entryVms(vms));
        Map<UpstreamId, VmId> after = assign(Fixtures.upstreams(upstreams), fewer);

        long moved = before.entrySet().stream()
                .filter(entry -> !entry.getValue().equals(after.get(entry.getKey())))
                .count();
        assertThat(moved).isLessThanOrEqualTo(3L * KeeperAssignment.bound(upstreams, vms - 1));
    }

    @Property(seed = "4", tries = 50)
    void upstreamsStayInTheirAvailabilityZoneWhenItHasAnEvenShareOfVms(@ForAll @IntRange(min = 1, max = 15) int share) {
        List<Upstream> upstreams = Fixtures.upstreams(4 * share);
        List<Vm> vms = Fixtures.entryVms(16);
        Map<VmId, Vm> byName = vms.stream().collect(Collectors.toMap(Vm::id, vm -> vm));
        Map<UpstreamId, VmId> keepers = assign(upstreams, vms);

        assertThat(upstreams)
                .allMatch(upstream -> byName.get(keepers.get(upstream.id()))
                        .availabilityZone()
                        .equals(upstream.availabilityZone()));
    }

    @Property(seed = "5", tries = 20)
    void upstreamIsNotKeptInAnotherRegion(@ForAll @IntRange(min = 1, max = 20) int vms) {
        Upstream remote = Fixtures.upstream("remote", new AvailabilityZoneId("zone-far"));

        assertThat(assign(List.of(remote), Fixtures.entryVms(vms))).isEmpty();
    }

    private static Map<UpstreamId, VmId> assign(List<Upstream> upstreams, List<Vm> vms) {
        return KeeperAssignment.assign(upstreams, vms, Fixtures::regionOf);
    }
}
