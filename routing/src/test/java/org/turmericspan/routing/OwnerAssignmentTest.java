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

/** Tests properties of the assignment of upstreams to owners, for generated numbers of upstreams and VMs. */
final class OwnerAssignmentTest {
    @Property(seed = "1", tries = 200)
    void noVmOwnsMoreThanTheCapacityBound(
            @ForAll @IntRange(min = 1, max = 60) int upstreams, @ForAll @IntRange(min = 1, max = 20) int vms) {
        Map<UpstreamId, VmId> owners = assign(Fixtures.upstreams(upstreams), Fixtures.entryVms(vms));

        assertThat(owners).hasSize(upstreams);
        assertThat(owners.values().stream()
                        .collect(Collectors.groupingBy(vm -> vm, Collectors.counting()))
                        .values())
                .allMatch(owned -> owned <= OwnerAssignment.capacityBound(upstreams, vms));
    }

    @Property(seed = "2", tries = 200)
    void assignmentDoesNotDependOnInputOrder(
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
    void removedVmMovesAtMostThreeTimesTheCapacityBound(
            @ForAll @IntRange(min = 8, max = 60) int upstreams,
            @ForAll @IntRange(min = 8, max = 20) int vms,
            @ForAll @IntRange(min = 0, max = 19) int removedIndex) {
        List<Vm> remainingVms = new ArrayList<>(Fixtures.entryVms(vms));
        remainingVms.remove(removedIndex % vms);
        Map<UpstreamId, VmId> before = assign(Fixtures.upstreams(upstreams), Fixtures.entryVms(vms));
        Map<UpstreamId, VmId> after = assign(Fixtures.upstreams(upstreams), remainingVms);

        long moved = before.entrySet().stream()
                .filter(entry -> !entry.getValue().equals(after.get(entry.getKey())))
                .count();
        assertThat(moved).isLessThanOrEqualTo(3L * OwnerAssignment.capacityBound(upstreams, vms - 1));
    }

    @Property(seed = "4", tries = 50)
    void upstreamsAreOwnedInTheirAvailabilityZoneWhenVmsAreEvenlySpread(
            @ForAll @IntRange(min = 1, max = 15) int share) {
        List<Upstream> upstreams = Fixtures.upstreams(4 * share);
        List<Vm> vms = Fixtures.entryVms(16);
        Map<VmId, Vm> byName = vms.stream().collect(Collectors.toMap(Vm::id, vm -> vm));
        Map<UpstreamId, VmId> owners = assign(upstreams, vms);

        assertThat(upstreams)
                .allMatch(upstream ->
                        byName.get(owners.get(upstream.id())).availabilityZone().equals(upstream.availabilityZone()));
    }

    @Property(seed = "5", tries = 20)
    void upstreamIsNotOwnedInAnotherRegion(@ForAll @IntRange(min = 1, max = 20) int vms) {
        Upstream remote = Fixtures.upstream("remote", new AvailabilityZoneId("zone-far"));

        assertThat(assign(List.of(remote), Fixtures.entryVms(vms))).isEmpty();
    }

    private static Map<UpstreamId, VmId> assign(List<Upstream> upstreams, List<Vm> vms) {
        return OwnerAssignment.assign(upstreams, vms, Fixtures::regionOf);
    }
}
