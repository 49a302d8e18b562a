package org.turmericspan.entry;

import java.util.random.RandomGenerator;

/** Documents that the operators and the upstreams write to the store. */
final class StoreDocuments {
    private StoreDocuments() {}

    /** Returns a configuration with one route, whose prefix names the version. */
    static String configuration(long version) {
        return "{\"Version\":" + version + ",\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\",\"Prefix\":\"/a" + version
                + "/\",\"Backends\":[{\"Service\":\"desk\",\"Weight\":3}],\"Type\":\"safe\",\"TimeoutS\":1.5,"
                + "\"TargetLatencyS\":0.25,\"MaxAttempts\":2,\"Priority\":1}],\"Services\":[{\"Name\":\"desk\","
                + "\"HealthPath\":\"/h\",\"MaxConns\":9,\"WarmupS\":3,\"WarmupPerS\":7.3}]}";
    }

    /** Returns a configuration with further routes of random names. */
    static String largeConfiguration(long version, int routes, RandomGenerator random) {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < routes; i++) {
            String name = Long.toString(random.nextLong(Integer.MAX_VALUE), Character.MAX_RADIX);
            rows.append("{\"Name\":\"r-")
                    .append(name)
                    .append("\",\"Host\":\"")
                    .append(name)
                    .append(".example\",\"Prefix\":\"/")
                    .append(name)
                    .append("/\",\"Service\":\"desk\",\"Type\":\"safe\",\"TimeoutS\":1.5,\"TargetLatencyS\":0.25,")
                    .append("\"MaxAttempts\":2,\"Priority\":1},");
        }
        return configuration(version).replace("\"Routes\":[", "\"Routes\":[" + rows);
    }

    static String registration(long sequence) {
        return registration(sequence, "ready");
    }

    /** Returns the registration of an upstream in a state, with the number of its report. */
    static String registration(long sequence, String state) {
        return "{\"Service\":\"desk\",\"Address\":\"10.0.0.5:80\",\"Zone\":\"zone-0\",\"Version\":\"v1\","
                + "\"Capacity\":3,\"State\":\"" + state + "\",\"WarmupLeftS\":0,\"Sequence\":" + sequence
                + ",\"born\":1700000000000}";
    }
}
