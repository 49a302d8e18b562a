package org.turmericspan.node;

import dagger.Module;
import dagger.Provides;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import javax.inject.Singleton;
import org.turmericspan.calls.Locator;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.PeerState;
import org.turmericspan.membership.Peers;
import org.turmericspan.membership.StopState;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.routing.FleetMap;
import org.turmericspan.routing.HomeSets;
import org.turmericspan.routing.LocalSlotSource;
import org.turmericspan.routing.SlotTable;

/** Wires keepers, slots and address answers. */
@Module
final class SlotModule {
    private SlotModule() {}

    @Provides
    @Singleton
    static Supplier<FleetMap> fleetMap(ConfigurationTable configurations, ViewTable views) {
        return FleetMap.cached(configurations::current, views::current);
    }

    @Provides
    @Singleton
    static SlotTable slotTable(NodeIdentity identity, MonotonicClock clock) {
        return new SlotTable(identity.incarnation(), clock);
    }

    @Provides
    @Singleton
    static SlotSource slotSource(SlotTable table) {
        return new LocalSlotSource(table);
    }

    @Provides
    @Singleton
    static Locator locator(
            NodeSettings settings,
            NodeIdentity identity,
            Supplier<FleetMap> map,
            MonotonicClock clock,
            StopState stopState,
            Peers peers) {
        Locator homeSets = new HomeSets(
                map,
                settings.locateTimeToLive(),
                clock,
                () -> ThreadLocalRandom.current().nextDouble());
        return new StoppingLocator(
                homeSets,
                vm -> vm.equals(identity.vm())
                        ? stopState.isLeaving()
                        : peers.find(vm).filter(PeerState::leaving).isPresent());
    }
}
