package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.turmericspan.calls.LocateResult;
import org.turmericspan.calls.Locator;
import org.turmericspan.config.Service;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.Vm;

/**
 * Locates the owners of a service's upstreams, so that a call arrives at the node that grants its slot. Each result
 * lists them in random order, in which a node comes first in proportion to its weight, so that callers spread evenly. A
 * node that has just returned starts with a small weight and rises to its full one (slow start).
 */
public final class OwnerLocator implements Locator {
    private static final Duration SLOW_START_WINDOW = Duration.ofSeconds(20);
    private static final int SLOW_START_STEPS = 4;

    private final Supplier<OwnershipMap> ownershipMap;
    private final Duration timeToLive;
    private final MonotonicClock clock;
    private final DoubleSupplier random;
    private final Map<VmId, Long> candidateSinceNanos = new ConcurrentHashMap<>();
    private volatile CachedOwners cachedOwners = new CachedOwners(null, Map.of());

    /**
     * Creates a locator.
     *
     * @param ownershipMap supplies the current ownership map
     * @param timeToLive how long callers may cache a result
     * @param clock measures how long a node has been a candidate
     * @param random returns uniform numbers from 0 (inclusive) to 1 (exclusive)
     */
    public OwnerLocator(
            Supplier<OwnershipMap> ownershipMap, Duration timeToLive, MonotonicClock clock, DoubleSupplier random) {
        this.ownershipMap = ownershipMap;
        this.timeToLive = timeToLive;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public Optional<LocateResult> locate(ServiceId service) {
        CachedOwners current = current();
        List<WeightedOwner> owners = current.owners().get(service);
        if (owners == null) {
            return Optional.empty();
        }
        long nowNanos = clock.nowNanos();
        List<RankedEndpoint> ranked = new ArrayList<>(owners.size());
        for (WeightedOwner owner : owners) {
            int weight = owner.fullWeight() * slowStartSteps(owner.sinceNanos(), nowNanos);
            // Weighted random order (Efraimidis and Spirakis): the chance to come first is proportional to the weight.
            double key = Math.log(1 - random.getAsDouble()) / weight;
            ranked.add(new RankedEndpoint(
                    key,
                    new LocateResult.Endpoint(
                            owner.vm().id(), owner.vm().callerAddress().orElseThrow(), weight)));
        }
        Collections.sort(ranked);
        return Optional.of(
                new LocateResult(ranked.stream().map(RankedEndpoint::endpoint).toList(), timeToLive));
    }

    private CachedOwners current() {
        OwnershipMap newMap = ownershipMap.get();
        CachedOwners current = cachedOwners;
        if (current.source() != newMap) {
            current = compute(current, newMap);
            cachedOwners = current;
        }
        return current;
    }

    private CachedOwners compute(CachedOwners previous, OwnershipMap newMap) {
        boolean isFirst =
                previous.source() == null || previous.source().candidates().isEmpty();
        long sinceNanos = isFirst ? clock.nowNanos() - SLOW_START_WINDOW.toNanos() : clock.nowNanos();
        candidateSinceNanos.keySet().retainAll(newMap.candidates().keySet());
        newMap.candidates().keySet().forEach(vm -> candidateSinceNanos.putIfAbsent(vm, sinceNanos));
        Map<ServiceId, List<WeightedOwner>> owners = new TreeMap<>();
        for (Service service : newMap.configuration().services().values()) {
            owners.put(service.id(), ownersOf(newMap, service));
        }
        return new CachedOwners(newMap, owners);
    }

    private List<WeightedOwner> ownersOf(OwnershipMap newMap, Service service) {
        Map<VmId, Integer> slots = new TreeMap<>();
        for (Upstream upstream : newMap.upstreamsOf(service.id())) {
            VmId owner = newMap.owners().get(upstream.id());
            if (owner != null) {
                slots.merge(owner, service.slotsPerUpstream(), Integer::sum);
            }
        }
        if (slots.isEmpty()) {
            newMap.candidates().keySet().forEach(vm -> slots.put(vm, 1));
        }
        List<WeightedOwner> owners = new ArrayList<>();
        slots.forEach((vm, weight) -> owners.add(
                new WeightedOwner(newMap.candidates().get(vm), weight, candidateSinceNanos.getOrDefault(vm, 0L))));
        return owners;
    }

    private static int slowStartSteps(long sinceNanos, long nowNanos) {
        long steps = (nowNanos - sinceNanos) * SLOW_START_STEPS / SLOW_START_WINDOW.toNanos();
        return (int) Math.max(1, Math.min(SLOW_START_STEPS, steps));
    }

    /** An owner, its weight after slow start, and the monotonic time since when it has been a candidate. */
    private record WeightedOwner(Vm vm, int fullWeight, long sinceNanos) {}

    private record CachedOwners(OwnershipMap source, Map<ServiceId, List<WeightedOwner>> owners) {}

    private record RankedEndpoint(double key, LocateResult.Endpoint endpoint) implements Comparable<RankedEndpoint> {
        @Override
        public int compareTo(RankedEndpoint other) {
            return Double.compare(other.key, key);
        }
    }
}
