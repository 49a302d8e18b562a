package org.turmericspan.ctl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The cap of one tenant as several entry nodes see it. The components are the keys of the JSON output.
 *
 * @param tenant name
 * @param rate requests a second of the cap
 * @param burst burst of the cap
 * @param holders nodes that hold a shard, as the first node lists them
 * @param agree whether all nodes state the same cap and holders
 * @param level permits that the holders read can give
 * @param usable permits that they have given and that may still be used
 * @param batches nodes that hold permits for later requests
 * @param waiting requests that wait for a permit
 */
record TenantSummary(
        String tenant,
        String rate,
        String burst,
        String holders,
        boolean agree,
        long level,
        long usable,
        long batches,
        long waiting) {
    private static final String LINE_START = "tenant ";

    /** Reads the state dumps of several nodes; lines that are not about tenants are passed over. */
    static List<TenantSummary> of(List<String> dumps) {
        Map<String, List<Map<String, String>>> linesByTenant = new TreeMap<>();
        for (String dump : dumps) {
            dump.lines().filter(line -> line.startsWith(LINE_START)).forEach(line -> {
                String[] words = line.substring(LINE_START.length()).split(" ");
                linesByTenant
                        .computeIfAbsent(words[0], key -> new ArrayList<>())
                        .add(values(words));
            });
        }
        List<TenantSummary> summaries = new ArrayList<>();
        linesByTenant.forEach((tenant, lines) -> summaries.add(of(tenant, lines)));
        return summaries;
    }

    private static Map<String, String> values(String[] words) {
        Map<String, String> values = new LinkedHashMap<>();
        for (String word : words) {
            int equals = word.indexOf('=');
            if (equals > 0) {
                values.put(word.substring(0, equals), word.substring(equals + 1));
            }
        }
        return values;
    }

    private static TenantSummary of(String tenant, List<Map<String, String>> lines) {
        Map<String, String> first = lines.get(0);
        boolean agree = true;
        for (String name : List.of("rate", "burst", "holders")) {
            agree &= lines.stream()
                            .map(line -> line.getOrDefault(name, ""))
                            .distinct()
                            .count()
                    == 1;
        }
        return new TenantSummary(
                tenant,
                first.getOrDefault("rate", ""),
                first.getOrDefault("burst", ""),
                first.getOrDefault("holders", ""),
                agree,
                sum(lines, "level"),
                sum(lines, "usable"),
                lines.stream().filter(line -> number(line, "held") > 0).count(),
                sum(lines, "waiting"));
    }

    private static long sum(List<Map<String, String>> lines, String name) {
        return lines.stream().mapToLong(line -> number(line, name)).sum();
    }

    private static long number(Map<String, String> line, String name) {
        try {
            return Long.parseLong(line.getOrDefault(name, "0"));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
