package org.turmericspan.standins.upstream;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.ServerConnector;

/** Port of one upstream that can break off all its connections, refuse new ones for a while, and come back. */
final class CrashableConnector {
    private final ServerConnector connector;
    private final ScheduledExecutorService timer;
    private final Duration restartTime;

    CrashableConnector(ServerConnector connector, ScheduledExecutorService timer, Duration restartTime) {
        this.connector = connector;
        this.timer = timer;
        this.restartTime = restartTime;
    }

    void crash() {
        timer.execute(this::stop);
        timer.schedule(this::restart, restartTime.toMillis(), TimeUnit.MILLISECONDS);
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
            System.err.println("upstream: cannot listen again: " + e.getMessage());
        }
    }
}
