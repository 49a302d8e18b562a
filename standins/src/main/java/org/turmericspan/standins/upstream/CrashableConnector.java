package org.turmericspan.standins.upstream;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.ServerConnector;

/** Listening port of one upstream. A crash closes all its connections and refuses new ones for the restart delay. */
final class CrashableConnector {
    private final ServerConnector connector;
    private final ScheduledExecutorService timer;
    private final Duration restartDelay;

    CrashableConnector(ServerConnector connector, ScheduledExecutorService timer, Duration restartDelay) {
        this.connector = connector;
        this.timer = timer;
        this.restartDelay = restartDelay;
    }

    void crash() {
        timer.execute(this::stop);
        timer.schedule(this::restart, restartDelay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void stop() {
        connector.close();
        connector.getConnectedEndPoints().forEach(EndPoint::close);
    }

    private void restart() {
        try {
            connector.stop();
            connector.start();
        } catch (Exception e) {
            System.err.println("upstream: cannot listen again after a crash: " + e.getMessage());
        }
    }
}
