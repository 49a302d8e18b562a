package org.turmericspan.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.SocketAddress;

/** Binds listening sockets and accepts their connections. */
public final class ServerSocketBinder {
    /** Maximum number of connections waiting to be accepted. */
    private static final int ACCEPT_BACKLOG = 1_024;
    /** Backoff after a failed accept, which is mostly caused by a lack of file descriptors. */
    private static final long ACCEPT_BACKOFF_MILLIS = 200;

    private ServerSocketBinder() {}

    /**
     * Binds a socket and registers every accepted connection with the event loops.
     *
     * @param eventLoops event loops of the socket and of its connections
     * @param address address to listen on
     * @param initializer adds the handlers of an accepted connection to its pipeline
     * @param log receives failures to accept or to register a connection
     * @return the bound channel
     */
    public static Channel bind(
            EventLoopGroup eventLoops, SocketAddress address, Consumer<ChannelPipeline> initializer, EventLog log) {
        return new Bootstrap()
                .group(eventLoops)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .handler(new Acceptor(eventLoops, initializer, log))
                .bind(new InetSocketAddress(address.host(), address.port()))
                .syncUninterruptibly()
                .channel();
    }

    private static final class Acceptor implements InboundHandler {
        private final EventLoopGroup eventLoops;
        private final Consumer<ChannelPipeline> initializer;
        private final EventLog log;

        Acceptor(EventLoopGroup eventLoops, Consumer<ChannelPipeline> initializer, EventLog log) {
            this.eventLoops = eventLoops;
            this.initializer = initializer;
            this.log = log;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            Channel accepted = (Channel) message;
            accepted.pipeline().addLast(new ChannelSetup(initializer));
            eventLoops.register(accepted).addListener(registered -> {
                if (!registered.isSuccess()) {
                    log.write(Event.failure("transport", "Registering a connection failed; it is closed.")
                            .with("cause", registered.cause()));
                    accepted.unsafe().closeForcibly();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.write(Event.failure("transport", "Accepting a connection failed; accepting pauses.")
                    .with("cause", cause));
            context.channel().config().setAutoRead(false);
            context.executor()
                    .schedule(
                            () -> context.channel().config().setAutoRead(true),
                            ACCEPT_BACKOFF_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
