package org.turmericspan.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;
import org.turmericspan.calls.Locator;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.front.StateSection;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.IdleSlotsReport;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.NodeLifecycle;
import org.turmericspan.membership.PeerState;
import org.turmericspan.membership.Peers;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.routing.BaselineSlotSource;
import org.turmericspan.routing.LenderSelector;
import org.turmericspan.routing.OwnerLocator;
import org.turmericspan.routing.OwnershipMap;
import org.turmericspan.routing.SlotCoordinator;
import org.turmericspan.routing.SlotEngine;
import org.turmericspan.routing.SlotNetwork;
import org.turmericspan.routing.SlotPeerHandler;
import org.turmericspan.routing.SlotRules;
import org.turmericspan.routing.SlotTable;
import org.turmericspan.routing.UpstreamChoice;
import org.turmericspan.tables.WorkerPool;

/** Wires upstream ownership, slots and the locator. */
@Module
final class SlotModule {
    private static final String BASELINE = "baseline";

    private SlotModule() {}

    @Provides
    @Singleton
    static Supplier<OwnershipMap> ownershipMap(ConfigurationTable configurations, ViewTable views) {
        return OwnershipMap.cached(configurations::current, views::current);
    }

    @Provides
    @Singleton
    static SlotRules slotRules(NodeSettings settings) {
        return SlotRules.defaults(settings.viewLagBound());
    }

    @Provides
    @Singleton
    static SlotTable slotTable(NodeIdentity identity, SlotRules rules, MonotonicClock clock, MetricRegistry metrics) {
        SlotTable table = new SlotTable(new SlotEngine(identity.vm(), identity.incarnation(), rules), clock);
        metrics.register("slots.own", (Gauge<Integer>) () -> table.counts().own());
        metrics.register("slots.lent", (Gauge<Integer>) () -> table.counts().lent());
        metrics.register("slots.waiting", (Gauge<Integer>) () -> table.counts().waiting());
        metrics.register(
                "slots.cold_transitions", (Gauge<Long>) () -> table.counts().coldTransitions());
        return table;
    }

    @Provides
    @Singleton
    static LenderSelector lenderSelector(
            NodeIdentity identity,
            Supplier<OwnershipMap> map,
            Peers peers,
            MonotonicClock clock,
            RandomGenerator random) {
        return new LenderSelector(identity.vm(), map, peers, clock, random);
    }

    @Provides
    @Singleton
    static SlotNetwork slotNetwork(NodeIdentity identity, PeerLinks links, WorkerPool workerPool) {
        return new SlotNetwork(identity.vm(), identity.incarnation(), links, SlotNetwork.Timer.on(workerPool));
    }

    @Provides
    @Singleton
    static SlotCoordinator slotCoordinator(
            SlotTable table,
            SlotRules rules,
            SlotNetwork network,
            Supplier<OwnershipMap> map,
            LenderSelector lenderSelector,
            MonotonicClock clock,
            ViewTable views,
            MetricRegistry metrics) {
        return new SlotCoordinator(
                table, network, map, lenderSelector, clock, rules.maxTickGap(), views::confirmedNanos, metrics);
    }

    @Provides
    @Singleton
    static IdleSlotsReport idleSlotsReport(SlotTable table) {
        return table::idleSlots;
    }

    @Provides
    @Singleton
    static SlotPeerHandler slotPeerHandler(SlotCoordinator coordinator, MonotonicClock clock) {
        return new SlotPeerHandler(coordinator, clock);
    }

    @Provides
    @Singleton
    static SlotSource slotSource(
            NodeSettings settings,
            SlotCoordinator coordinator,
            Supplier<OwnershipMap> map,
            NodeIdentity identity,
            MonotonicClock clock,
            RandomGenerator random) {
        if (settings.slotPolicy().equals(BASELINE)) {
            return new BaselineSlotSource(map, identity.incarnation(), clock, UpstreamChoice.powerOfTwo(random));
        }
        return coordinator;
    }

    @Provides
    @Singleton
    static Locator locator(
            NodeSettings settings,
            NodeIdentity identity,
            Supplier<OwnershipMap> map,
            MonotonicClock clock,
            NodeLifecycle nodeLifecycle,
            Peers peers) {
        Locator ownerLocator = new OwnerLocator(
                map,
                settings.locateTimeToLive(),
                clock,
                () -> ThreadLocalRandom.current().nextDouble());
        return new LeavingNodeFilter(
                ownerLocator,
                vm -> vm.equals(identity.vm())
                        ? nodeLifecycle.isLeaving()
                        : peers.find(vm).filter(PeerState::leaving).isPresent());
    }

    @Provides
    @IntoSet
    static StateSection upstreams(SlotTable table) {
        return NamedSection.of("upstreams", () -> SlotDump.upstreams(table));
    }

    @Provides
    @IntoSet
    static StateSection slots(NodeSettings settings, SlotTable table, SlotCoordinator coordinator) {
        return NamedSection.of("slots", () -> SlotDump.of(settings.slotPolicy(), table, coordinator));
    }
}
