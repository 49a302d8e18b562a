package org.turmericspan.entry;

import java.io.IOException;
import java.net.BindException;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.standins.network.Link;

/** A port of the store that can be closed, with all its connections, and opened again. */
final class StorePort implements AutoCloseable {
    private static final int REBIND_MILLIS = 10;
    private static final int MAX_REBINDS = 200;

    private final SocketAddress address = PlatformStandIn.freeAddress();
    private final PlatformStandIn platform;
    private Link link;

    StorePort(PlatformStandIn platform) throws IOException, InterruptedException {
        this.platform = platform;
        open();
    }

    SocketAddress address() {
        return address;
    }

    void open() throws InterruptedException {
        link = new Link(address.port(), platform.address(), platform.workers());
        for (int i = 0; !isStarted(i == MAX_REBINDS); i++) {
            TimeUnit.MILLISECONDS.sleep(REBIND_MILLIS);
        }
    }

    /** Starts listening; fails while the listener before is still being closed. */
    private boolean isStarted(boolean isLast) throws InterruptedException {
        try {
            link.start();
            return true;
        } catch (Exception e) {
            if (!(e instanceof BindException) || isLast) {
                throw e;
            }
            return false;
        }
    }

    @Override
    public void close() {
        link.close();
    }
}
