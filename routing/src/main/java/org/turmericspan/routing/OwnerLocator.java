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
 * Names the keepers of a service's upstreams, so that a call arrives where its slot is kept. Each answer is in a random
 * order in which a node comes first as often as its weight says, so that callers spread evenly. A node that has just
 * returned starts with a small weight that rises to its full one.
 */
public final class OwnerLocator implements Locator {
    private static final Duration FULL_WEIGHT_AFTER = Duration.ofSeconds(20);
    private static final int RISE_STEPS = 4;

    private final Supplier<OwnershipMap> map;
    private final Duration timeToLive;
    private final MonotonicClock clock;
    private final DoubleSupplier random;
    private final Map<VmId, Long> candidateSinceNanos = new ConcurrentHashMap<>();
    private volatile Computed computed = new Computed(null, Map.of());

    /**
     * Creates a locator.
     *
     * @param map who keeps what
     * @param timeToLive how long callers may keep an answer
     * @param clock measures how long a node has been back
     * @param random draws from 0 to 1
     */
    public OwnerLocator(Supplier<OwnershipMap> map, Duration timeToLive, MonotonicClock clock, DoubleSupplier random) {
        this.map = map;
        this.timeToLive = timeToLive;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public Optional<LocateResult> locate(ServiceId service) {
        Computed current = current();
        List<Home> homes = current.homes().get(service);
        if (homes == null) {
            return Optional.empty();
        }
        long nowNanos = clock.nowNanos();
        List<Drawn> drawn = new ArrayList<>(homes.size());
        for (Home home : homes) {
            int weight = home.fullWeight() * steps(home.sinceNanos(), nowNanos);
            double key = Math.log(1 - random.getAsDouble()) / weight;
            drawn.add(new Drawn(
                    key,
                    new LocateResult.Endpoint(
                            home.vm().id(), home.vm().callerAddress().orElseThrow(), weight)));
        }
        Collections.sort(drawn);
        return Optional.of(new LocateResult(drawn.stream().map(Drawn::endpoint).toList(), timeToLive));
    }

    private Computed current() {
        OwnershipMap now = map.get();
        Computed current = computed;
        if (current.source() != now) {
            current = compute(current, now);
            computed = current;
        }
        return current;
    }

    private Computed compute(Computed previous, OwnershipMap now) {
        boolean isFirst =
                previous.source() == null || previous.source().candidates().isEmpty();
        long sinceNanos = isFirst ? clock.nowNanos() - FULL_WEIGHT_AFTER.toNanos() : clock.nowNanos();
        candidateSinceNanos.keySet().retainAll(now.candidates().keySet());
        now.candidates().keySet().forEach(vm -> candidateSinceNanos.putIfAbsent(vm, sinceNanos));
        Map<ServiceId, List<Home>> homes = new TreeMap<>();
        for (Service service : now.configuration().services().values()) {
            homes.put(service.id(), homesOf(now, service));
        }
        return new Computed(now, homes);
    }

    private List<Home> homesOf(OwnershipMap now, Service service) {
        Map<VmId, Integer> slots = new TreeMap<>();
        for (Upstream upstream : now.upstreamsOf(service.id())) {
            VmId keeper = now.owners().get(upstream.id());
            if (keeper != null) {
                slots.merge(keeper, service.slotsPerUpstream(), Integer::sum);
            }
        }
        if (slots.isEmpty()) {
            now.candidates().keySet().forEach(vm -> slots.put(vm, 1));
        }
        List<Home> homes = new ArrayList<>();
        slots.forEach((vm, weight) ->
                homes.add(new Home(now.candidates().get(vm), weight, candidateSinceNanos.getOrDefault(vm, 0L))));
        return homes;
    }

    private static int steps(long sinceNanos, long nowNanos) {
        long risen = (nowNanos - sinceNanos) * RISE_STEPS / FULL_WEIGHT_AFTER.toNanos();
        return (int) Math.max(1, Math.min(RISE_STEPS, risen));
    }

    private record Home(Vm vm, int fullWeight, long sinceNanos) {}

    private record Computed(OwnershipMap source, Map<ServiceId, List<Home>> homes) {}

    private record Drawn(double key, LocateResult.Endpoint endpoint) implements Comparable<Drawn> {
        @Override
        public int compareTo(Drawn other) {
            return Double.compare(other.key, key);
        }
    }
}
