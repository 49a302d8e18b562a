package org.turmericspan.transport;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import org.turmericspan.events.EventLog;

/** Brings Netty's warnings and errors into the log. The JDK's log manager would cost a tenth of a start. */
public final class NettyLogFactory extends InternalLoggerFactory {
    private final EventLog log;

    /**
     * Creates a factory, to be set before any other class of Netty is used.
     *
     * @param log takes the lines
     */
    public NettyLogFactory(EventLog log) {
        this.log = log;
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new NettyLog(name, log);
    }
}
