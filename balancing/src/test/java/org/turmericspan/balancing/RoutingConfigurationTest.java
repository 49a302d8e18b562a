package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RoutingConfigurationTest {
    private final RoutingConfiguration configuration = Samples.configuration(
            1,
            Samples.route("/a/", new WeightedService(Samples.SERVICE, 1)),
            Samples.route("/a/b/", new WeightedService(Samples.SERVICE, 1)));

    @Test
    void longestMatchingPrefixWins() {
        assertThat(configuration.findRoute("shop.example", "/a/b/c"))
                .map(Route::prefix)
                .hasValue("/a/b/");
    }

    @Test
    void prefixMatchesWholeSegmentsOnly() {
        assertThat(configuration.findRoute("shop.example", "/a/bc"))
                .map(Route::prefix)
                .hasValue("/a/");
    }

    @Test
    void hostIsCaseInsensitive() {
        assertThat(configuration.findRoute("SHOP.example", "/a/x")).isPresent();
    }

    @Test
    void unknownPathHasNoRoute() {
        assertThat(configuration.findRoute("shop.example", "/z/x")).isEmpty();
    }

    @Test
    void olderVersionIsNotTaken() {
        ConfigurationHolder holder = new ConfigurationHolder();
        assertThat(holder.accept(Samples.configuration(5))).isTrue();
        assertThat(holder.accept(Samples.configuration(4))).isFalse();
        assertThat(holder.current()).map(RoutingConfiguration::version).hasValue(5L);
    }
}
