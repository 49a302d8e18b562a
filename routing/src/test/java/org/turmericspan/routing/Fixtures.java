package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.turmericspan.config.Service;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RegionId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
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
