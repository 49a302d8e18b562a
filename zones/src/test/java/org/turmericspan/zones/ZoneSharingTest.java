package org.turmericspan.zones;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.Event;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StableHash;
import org.turmericspan.testkit.ManualClock;

class ZoneSharingTest {
    private static final AvailabilityZoneId LOCAL = new AvailabilityZoneId("zone-a");
    private static final AvailabilityZoneId REMOTE = new AvailabilityZoneId("zone-b");
    private static final ServiceId SERVICE = new ServiceId("orders");
    private static final RouteId ROUTE = new RouteId("place");
    private static final SocketAddress PEER = new SocketAddress("10.0.1.1", 7_700);

    private final ManualClock clock = new ManualClock();
    private final List<Event> events = new ArrayList<>();
    private final FixedZone zone = new FixedZone();
    private final ZoneSharing sharing =
            new ZoneSharing(LOCAL, new CrossingCost(30, 4_000_000), zone, clock, events::add);

    private void round(int requests) {
        clock.advance(Duration.ofMillis(200));
        for (int i = 0; i < requests; i++) {
            sharing.begun(SERVICE, () -> new RequestKind(ROUTE, 100_000_000, 600_000_000, 500));
        }
        ZoneReport report = new ZoneReport(REMOTE, 10, 100, clock.nowNanos());
        ServiceSummary service = new ServiceSummary(StableHash.of(SERVICE.value()), 0, List.of(report));
        sharing.receive(PEER, REMOTE, new ZoneSummary(List.of(service)));
        sharing.refresh();
    }

    @Test
    void requestsAreUndecidedWhileTheRoomOfTheZoneIsUnknown() {
        zone.rooms = List.of();
        round(100);
        assertThat(sharing.preference(SERVICE, ROUTE, 0)).isSameAs(ZonePreference.UNDECIDED);
        assertThat(sharing.preference(new ServiceId("unknown"), ROUTE, 0)).isSameAs(ZonePreference.UNDECIDED);
    }

    @Test
    void requestsStayInAZoneWithRoom() {
        zone.rooms = List.of(new ServiceRoom(SERVICE, 100));
        round(5);
        assertThat(sharing.preference(SERVICE, ROUTE, 0).isStay()).isTrue();
    }

    @Test
    void overflowLeavesAndEachChangeOfATenthIsLogged() {
        zone.rooms = List.of(new ServiceRoom(SERVICE, 3));
        for (int i = 0; i < 30; i++) {
            round(10);
        }
        double leaving = sharing.leavingPercents().get(SERVICE.value());
        assertThat(leaving).isBetween(35.0, 50.0);
        assertThat(sharing.preference(SERVICE, ROUTE, 0.1).remoteZone()).contains(REMOTE);
        assertThat(sharing.preference(SERVICE, ROUTE, 0.9).isStay()).isTrue();
        assertThat(events).hasSizeBetween(1, 5);
        assertThat(sharing.reportAgesMillis()).containsEntry(REMOTE.value(), 0L);
    }

    /** A node that sends one message inside its zone and one to another zone in each round, as in small zones. */
    @Test
    void eachKindOfMessageTellsOfAllServices() {
        int count = 2 * ZoneSummary.MAX_SERVICES;
        List<ServiceRoom> rooms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            rooms.add(new ServiceRoom(new ServiceId("service-" + i), 10));
        }
        zone.rooms = rooms;
        Set<Long> toldInside = new HashSet<>();
        Set<Long> toldOutside = new HashSet<>();
        for (int round = 0; round < count; round++) {
            clock.advance(Duration.ofMillis(200));
            sharing.refresh();
            sharing.summary().services().forEach(service -> toldInside.add(service.serviceHash()));
            sharing.summary().services().forEach(service -> toldOutside.add(service.serviceHash()));
        }
        assertThat(toldInside).hasSize(count);
        assertThat(toldOutside).hasSize(count);
    }

    @Test
    void summaryIsBoundedAndTellsOfAllServicesByTurns() {
        List<ServiceRoom> rooms = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            rooms.add(new ServiceRoom(new ServiceId("s" + i), 10));
        }
        zone.rooms = rooms;
        sharing.refresh();
        Set<Long> told = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            ZoneSummary summary = sharing.summary();
            assertThat(summary.services()).hasSize(ZoneSummary.MAX_SERVICES);
            summary.services().forEach(service -> told.add(service.serviceHash()));
        }
        assertThat(told).hasSize(40);
    }

    @Test
    void zonesBeyondTheMaximumAreNotKept() {
        for (int i = 0; i < 100; i++) {
            ZoneReport report = new ZoneReport(new AvailabilityZoneId("z" + i), 1, 1, clock.nowNanos());
            sharing.receive(PEER, REMOTE, new ZoneSummary(List.of(new ServiceSummary(7, 0, List.of(report)))));
        }
        assertThat(sharing.summary().services().get(0).zones()).hasSize(ZoneSummary.MAX_ZONES);
    }

    @Test
    void stateOfServicesWithoutReportsIsDropped() {
        zone.rooms = List.of(new ServiceRoom(SERVICE, 100));
        sharing.refresh();
        assertThat(sharing.summary().services()).hasSize(1);
        zone.rooms = List.of();
        clock.advance(Duration.ofNanos(TimeUnit.MINUTES.toNanos(11)));
        sharing.refresh();
        assertThat(sharing.summary().isEmpty()).isTrue();
    }

    /** Local zone with rooms set by the test. */
    private static final class FixedZone implements LocalZone {
        private List<ServiceRoom> rooms = List.of();

        @Override
        public List<ServiceRoom> rooms() {
            return rooms;
        }

        @Override
        public int nodes() {
            return 1;
        }
    }
}
