package org.turmericspan.bench.scenario;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.turmericspan.bench.Scenario;

/** All experiments by name. */
public final class Scenarios {
    private static final Map<String, Scenario> ALL = new TreeMap<>(Map.ofEntries(
            Map.entry("quiet", new QuietScenario()::run),
            Map.entry("shift", new ShiftScenario()::run),
            Map.entry("overhead", new OverheadScenario()::run),
            Map.entry("zone", new ZoneScenario()::run),
            Map.entry("cold", new ColdScenario()::run),
            Map.entry("overload", new OverloadScenario()::run),
            Map.entry("control", new ControlScenario()::run),
            Map.entry("config", new ConfigScenario()::run),
            Map.entry("orders", new OrdersScenario()::run),
            Map.entry("poison", new PoisonScenario()::run),
            Map.entry("stop", new StopScenario()::run)));

    private Scenarios() {}

    /**
     * Lists the names.
     *
     * @return names in alphabetic order
     */
    public static Set<String> names() {
        return ALL.keySet();
    }

    /**
     * Finds a scenario.
     *
     * @param name one of {@link #names()}
     * @return the scenario
     */
    public static Scenario byName(String name) {
        return ALL.get(name);
    }
}
