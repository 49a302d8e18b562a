package org.turmericspan.front;

import io.javalin.config.JavalinConfig;
import java.time.Duration;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;

/** Limits on the resources that one connection, and all connections of a server, may use. */
final class HttpLimits {
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private HttpLimits() {}

    /** Sets the limits of a server and the format of errors that its HTTP library reports. */
    static void apply(JavalinConfig config, int maxConnections) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.http.prefer405over404 = true;
        config.jetty.modifyHttpConfiguration(HttpLimits::limit);
        config.jetty.modifyServer(server -> limit(server, maxConnections));
    }

    private static void limit(HttpConfiguration configuration) {
        configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
        configuration.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        configuration.setSendServerVersion(false);
    }

    private static void limit(Server server, int maxConnections) {
        server.addBean(new NetworkConnectionLimit(maxConnections, server));
        server.setErrorHandler(new HttpErrorHandler());
    }
}
