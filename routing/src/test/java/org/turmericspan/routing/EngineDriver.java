package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.config.Service;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.Vm;

/** Drives the decisions of one keeper through events at chosen times. */
final class EngineDriver {
    static final VmId SELF = new VmId("entry-0");
    static final VmId OTHER = new VmId("entry-1");
    static final Duration LAG = Duration.ofSeconds(3);
    private static final Duration TICK = Duration.ofMillis(10);

    private final SlotEngine engine;
    private final Service service;
    private long nowNanos = 1;
    private long confirmedNanos = 1;
    private long nextNumber;
    private long revision;

    EngineDriver(SlotRules rules, Service service) {
        this.engine = new SlotEngine(SELF, new Incarnation(1), rules);
        this.service = service;
    }

    static EngineDriver usual() {
        return new EngineDriver(SlotRules.defaults(LAG), Fixtures.service(3, 1));
    }

    static EngineDriver with(SlotRules rules) {
        return new EngineDriver(rules, Fixtures.service(3, 1));
    }

    /** Sets the map: the upstreams and the entry VMs that are listed. */
    List<SlotAction> map(List<Upstream> upstreams, List<Vm> entryVms) {
        return map(upstreams, entryVms, Set.of(), Set.of());
    }

    List<SlotAction> map(
            List<Upstream> upstreams, List<Vm> entryVms, Set<VmId> outOfService, Set<VmId> leavingUpstreams) {
        revision++;
        List<Vm> vms = new ArrayList<>(entryVms);
        upstreams.forEach(upstream -> vms.add(Fixtures.upstreamVm(upstream, leavingUpstreams.contains(upstream.vm()))));
        return on(new SlotEvent.MapChanged(OwnershipMap.of(
                Fixtures.configuration(revision, upstreams, service, outOfService), Fixtures.view(revision, vms))));
    }

    /** Keeps one warm upstream alone. */
    EngineDriver warm(Upstream upstream) {
        map(List.of(upstream), List.of(Fixtures.entryVm(SELF.value(), upstream.availabilityZone())));
        while (state().phase() != Phase.WARM) {
            finish(grantOf(wish()), Fixtures.answered(Duration.ofMillis(10)));
        }
        return this;
    }

    List<SlotAction> on(SlotEvent event) {
        return engine.on(event, nowNanos);
    }

    /** Lets time pass in ticks, with the view confirmed at each; returns the actions of all of them. */
    List<SlotAction> pass(Duration span) {
        List<SlotAction> actions = new ArrayList<>();
        long endNanos = nowNanos + span.toNanos();
        while (nowNanos < endNanos) {
            nowNanos = Math.min(endNanos, nowNanos + TICK.toNanos());
            confirmedNanos = nowNanos;
            actions.addAll(on(new SlotEvent.Ticked(confirmedNanos)));
        }
        return actions;
    }

    /** Lets time pass in ticks without any word of the view. */
    void passUnconfirmed(Duration span) {
        long endNanos = nowNanos + span.toNanos();
        while (nowNanos < endNanos) {
            nowNanos = Math.min(endNanos, nowNanos + TICK.toNanos());
            on(new SlotEvent.Ticked(confirmedNanos));
        }
    }

    /** Lets the process sleep, without a tick. */
    void sleep(Duration span) {
        nowNanos += span.toNanos();
    }

    List<SlotAction> wish() {
        return wish(SELF, false);
    }

    List<SlotAction> wish(VmId from, boolean idleOnly) {
        nextNumber++;
        return on(new SlotEvent.Wished(
                new WishKey(from, nextNumber),
                Fixtures.wish(nowNanos + Duration.ofSeconds(1).toNanos(), idleOnly)));
    }

    List<SlotAction> finish(LeaseId lease, SlotReturn slotReturn) {
        return on(new SlotEvent.Returned(lease, slotReturn));
    }

    List<UpstreamState> states() {
        return engine.describe(nowNanos);
    }

    UpstreamState state() {
        return engine.describe(nowNanos).get(0);
    }

    long nowNanos() {
        return nowNanos;
    }

    static <T extends SlotAction> Stream<T> only(Class<T> type, List<SlotAction> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast);
    }

    static LeaseId grantOf(List<SlotAction> actions) {
        return only(SlotAction.Grant.class, actions)
                .findFirst()
                .orElseThrow(() -> new AssertionError("No grant in " + actions))
                .slot()
                .lease();
    }

    static long grants(List<SlotAction> actions) {
        return only(SlotAction.Grant.class, actions).count();
    }
}
