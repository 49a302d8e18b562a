package org.turmericspan.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.turmericspan.config.Upstream;

/** Policy by which one of several upstreams is chosen. */
@FunctionalInterface
public interface UpstreamChoice {
    /**
     * Chooses an upstream.
     *
     * @param candidates upstreams that may be chosen
     * @param load returns the load of an upstream as far as it is known
     * @return the chosen upstream, or empty when there is no candidate
     */
    Optional<Upstream> choose(List<Upstream> candidates, ToIntFunction<Upstream> load);

    /**
     * Returns a policy that draws two upstreams at random and chooses the less loaded one.
     *
     * @param random draws the two
     * @return the policy
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
