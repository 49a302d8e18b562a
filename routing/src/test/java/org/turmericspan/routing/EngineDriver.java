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

/** Drives the slot engine of one node through events at chosen times. */
final class EngineDriver {
    static final VmId SELF = new VmId("entry-0");
    static final VmId OTHER = new VmId("entry-1");
    static final Duration VIEW_LAG_BOUND = Duration.ofSeconds(3);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

    private final SlotEngine engine;
    private final Service service;
    private long nowNanos = 1;
    private long viewConfirmedNanos = 1;
    private long lastRequestNumber;
    private long revision;

    EngineDriver(SlotRules rules, Service service) {
        this.engine = new SlotEngine(SELF, new Incarnation(1), rules);
        this.service = service;
    }

    static EngineDriver withDefaults() {
        return new EngineDriver(SlotRules.defaults(VIEW_LAG_BOUND), Fixtures.service(3, 1));
    }

    static EngineDriver withRules(SlotRules rules) {
        return new EngineDriver(rules, Fixtures.service(3, 1));
    }

    /** Sets the configured upstreams and the listed entry VMs. */
    List<SlotAction> setOwnership(List<Upstream> upstreams, List<Vm> entryVms) {
        return setOwnership(upstreams, entryVms, Set.of(), Set.of());
    }

    List<SlotAction> setOwnership(
            List<Upstream> upstreams, List<Vm> entryVms, Set<VmId> outOfService, Set<VmId> leavingUpstreams) {
        revision++;
        List<Vm> vms = new ArrayList<>(entryVms);
        upstreams.forEach(upstream -> vms.add(Fixtures.upstreamVm(upstream, leavingUpstreams.contains(upstream.vm()))));
        return handle(new SlotEvent.OwnershipChanged(OwnershipMap.of(
                Fixtures.configuration(revision, upstreams, service, outOfService), Fixtures.view(revision, vms))));
    }

    /** Makes this node the only owner of an upstream and warms it up. */
    EngineDriver ownWarm(Upstream upstream) {
        setOwnership(List.of(upstream), List.of(Fixtures.entryVm(SELF.value(), upstream.availabilityZone())));
        while (state().phase() != Phase.WARM) {
            returnSlot(grantedLease(request()), Fixtures.answered(Duration.ofMillis(10)));
        }
        return this;
    }

    List<SlotAction> handle(SlotEvent event) {
        return engine.handle(event, nowNanos);
    }

    /** Advances time in ticks, with the view confirmed at each; returns the actions of all ticks. */
    List<SlotAction> advance(Duration span) {
        List<SlotAction> actions = new ArrayList<>();
        long endNanos = nowNanos + span.toNanos();
        while (nowNanos < endNanos) {
            nowNanos = Math.min(endNanos, nowNanos + TICK_INTERVAL.toNanos());
            viewConfirmedNanos = nowNanos;
            actions.addAll(handle(new SlotEvent.Ticked(viewConfirmedNanos)));
        }
        return actions;
    }

    /** Advances time in ticks without confirming the view. */
    void advanceUnconfirmed(Duration span) {
        long endNanos = nowNanos + span.toNanos();
        while (nowNanos < endNanos) {
            nowNanos = Math.min(endNanos, nowNanos + TICK_INTERVAL.toNanos());
            handle(new SlotEvent.Ticked(viewConfirmedNanos));
        }
    }

    /** Advances time without a tick, as a process pause does. */
    void pauseProcess(Duration span) {
        nowNanos += span.toNanos();
    }

    List<SlotAction> request() {
        return request(SELF, false);
    }

    List<SlotAction> request(VmId from, boolean idleOnly) {
        lastRequestNumber++;
        return handle(new SlotEvent.SlotRequested(
                new SlotRequestId(from, lastRequestNumber),
                Fixtures.slotRequest(nowNanos + Duration.ofSeconds(1).toNanos(), idleOnly)));
    }

    List<SlotAction> returnSlot(LeaseId lease, SlotReturn slotReturn) {
        return handle(new SlotEvent.Returned(lease, slotReturn));
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

    static <T extends SlotAction> Stream<T> ofType(Class<T> type, List<SlotAction> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast);
    }

    static LeaseId grantedLease(List<SlotAction> actions) {
        return ofType(SlotAction.Grant.class, actions)
                .findFirst()
                .orElseThrow(() -> new AssertionError("No grant in " + actions))
                .slot()
                .lease();
    }

    static long numberOfGrants(List<SlotAction> actions) {
        return ofType(SlotAction.Grant.class, actions).count();
    }
}
