package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.config.AvailabilityZone;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.config.Service;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RegionId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.FleetView;
import org.turmericspan.membership.Vm;

/** Objects that the tests of this package share. */
final class Fixtures {
    static final ServiceId SERVICE = new ServiceId("ordering");
    static final SocketAddress ADDRESS = SocketAddress.parse("127.0.0.1:9000");
    private static final int ZONES = 4;

    private Fixtures() {}

    static RegionId regionOf(AvailabilityZoneId zone) {
        return new RegionId("region-" + zone.value().substring("zone-".length()).length());
    }

    static AvailabilityZoneId zone(int index) {
        return new AvailabilityZoneId("zone-" + "abcdefgh".charAt(index % ZONES));
    }

    static List<Upstream> upstreams(int count) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            upstreams.add(upstream("upstream-" + i, zone(i)));
        }
        return upstreams;
    }

    static Upstream upstream(String name, AvailabilityZoneId zone) {
        return new Upstream(new UpstreamId(name), SERVICE, zone, new VmId(name), ADDRESS);
    }

    static List<Vm> entryVms(int count) {
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            vms.add(entryVm("entry-" + i, zone(i)));
        }
        return vms;
    }

    static Vm entryVm(String name, AvailabilityZoneId zone) {
        return new Vm(new VmId(name), zone, Vm.Role.ENTRY, false, Optional.of(ADDRESS), Optional.of(ADDRESS));
    }

    static Configuration configuration(long version, List<Upstream> upstreams, Service service) {
        return configuration(version, upstreams, service, Set.of());
    }

    static Configuration configuration(
            long version, List<Upstream> upstreams, Service service, Set<VmId> vmsOutOfService) {
        Map<AvailabilityZoneId, AvailabilityZone> zones = new HashMap<>();
        for (int i = 0; i < ZONES; i++) {
            zones.put(zone(i), new AvailabilityZone(zone(i), regionOf(zone(i)), true));
        }
        Map<UpstreamId, Upstream> byName = new HashMap<>();
        upstreams.forEach(upstream -> byName.put(upstream.id(), upstream));
        return new Configuration(
                new ConfigurationVersion(version, ""),
                "",
                zones,
                Map.of(SERVICE, service),
                byName,
                List.of(),
                vmsOutOfService);
    }

    static Vm upstreamVm(Upstream upstream, boolean leaving) {
        return new Vm(
                upstream.vm(),
                upstream.availabilityZone(),
                Vm.Role.UPSTREAM,
                leaving,
                Optional.empty(),
                Optional.empty());
    }

    static FleetView view(long revision, List<Vm> vms) {
        return FleetView.of(revision, vms);
    }

    static SlotRequest slotRequest(long deadlineNanos) {
        return slotRequest(deadlineNanos, false);
    }

    static SlotRequest slotRequest(long deadlineNanos, boolean idleOnly) {
        return new SlotRequest(
                SERVICE, new OfficeId("pressroom"), new CallerId("mari"), deadlineNanos, 0, true, Set.of(), idleOnly);
    }

    static SlotReturn answered(Duration elapsed) {
        return new SlotReturn(SlotReturn.Outcome.ANSWERED, elapsed, UpstreamSignals.NONE);
    }

    static SlotReturn ended(SlotReturn.Outcome outcome) {
        return new SlotReturn(outcome, Duration.ZERO, UpstreamSignals.NONE);
    }

    static UpstreamSignals signals(boolean cold, boolean leaving, String incarnation) {
        return new UpstreamSignals(OptionalInt.empty(), cold, leaving, Optional.of(incarnation));
    }

    static Service service(int slots, int extraDepth) {
        return new Service(
                SERVICE,
                slots,
                1,
                extraDepth,
                2,
                10,
                100,
                Duration.ofSeconds(1),
                Duration.ofSeconds(5),
                10,
                1_000,
                1_000);
    }
}
