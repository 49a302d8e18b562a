package org.turmericspan.front;

import io.javalin.config.JavalinConfig;
import java.time.Duration;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;

/** Limits on what one connection and all connections together may cost. */
final class HttpLimits {
    private static final int HEADER_BYTES = 16_384;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private HttpLimits() {}

    /** Sets the limits of a server, and the form of the refusals that its library writes itself. */
    static void apply(JavalinConfig config, int maxConnections) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.http.prefer405over404 = true;
        config.jetty.modifyHttpConfiguration(HttpLimits::limit);
        config.jetty.modifyServer(server -> limit(server, maxConnections));
    }

    private static void limit(HttpConfiguration configuration) {
        configuration.setRequestHeaderSize(HEADER_BYTES);
        configuration.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        configuration.setSendServerVersion(false);
    }

    private static void limit(Server server, int maxConnections) {
        server.addBean(new NetworkConnectionLimit(maxConnections, server));
        server.setErrorHandler(new HttpRefusals());
    }
}
