package org.turmericspan.node;

import java.util.Locale;

/** Every setting of a node: a flag, an environment variable, a default and a description. */
enum Setting {
    VM("vm", "", "name of the VM the node runs on"),
    AVAILABILITY_ZONE("availability-zone", "", "availability zone of the VM"),
    CALLER_ADDRESS("caller-address", "127.0.0.1:8080", "HOST:PORT where callers connect"),
    OPERATOR_ADDRESS("operator-address", "127.0.0.1:8081", "HOST:PORT where operators connect"),
    PEER_ADDRESS("peer-address", "127.0.0.1:8082", "HOST:PORT where other nodes connect"),
    PLATFORM_ADDRESS("platform-address", "127.0.0.1:8090", "HOST:PORT of the platform service"),
    DEPLOYMENT_KEY("deployment-key", "", "key shared by the nodes of a deployment, 16 characters or more"),
    WORKER_THREADS("worker-threads", "4", "threads of the worker pool, 1 to 64"),
    LOG_FORMAT("log-format", "plain", "plain or json");

    private final String flag;
    private final String defaultValue;
    private final String description;

    Setting(String flag, String defaultValue, String description) {
        this.flag = flag;
        this.defaultValue = defaultValue;
        this.description = description;
    }

    String flag() {
        return "--" + flag;
    }

    String destination() {
        return flag;
    }

    String environmentVariable() {
        return "TURMERICSPAN_" + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    String defaultValue() {
        return defaultValue;
    }

    String description() {
        return description;
    }
}
