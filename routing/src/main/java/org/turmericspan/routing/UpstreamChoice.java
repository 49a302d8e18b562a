package org.turmericspan.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.turmericspan.config.Upstream;

/** Chooses one of several upstreams. */
@FunctionalInterface
public interface UpstreamChoice {
    /**
     * Chooses an upstream.
     *
     * @param candidates upstreams that may be chosen
     * @param load returns the load of an upstream as far as it is known
     * @return the choice, or empty when there is no candidate
     */
    Optional<Upstream> choose(List<Upstream> candidates, ToIntFunction<Upstream> load);

    /**
     * Returns a choice that draws two upstreams at random and takes the less loaded one.
     *
     * @param random draws the two
     * @return the choice
     */
    static UpstreamChoice powerOfTwo(RandomGenerator random) {
        return (candidates, load) -> {
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            Upstream first = candidates.get(random.nextInt(candidates.size()));
            Upstream second = candidates.get(random.nextInt(candidates.size()));
            return Optional.of(load.applyAsInt(first) <= load.applyAsInt(second) ? first : second);
        };
    }
}
