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

/** Binds listening sockets. */
public final class ServerSocketBinder {
    /** Connections that may wait to be accepted. */
    private static final int BACKLOG = 1_024;
    /** Pause after a failure to accept, mostly for want of descriptors. */
    private static final long ACCEPT_PAUSE_MILLIS = 200;

    private ServerSocketBinder() {}

    /**
     * Binds a socket and hands over the connections that it accepts.
     *
     * @param workers run the socket and its connections
     * @param address where to listen
     * @param handlers adds the handlers of an accepted connection
     * @param log takes failures to accept
     * @return the bound channel
     */
    public static Channel bind(
            EventLoopGroup workers, SocketAddress address, Consumer<ChannelPipeline> handlers, EventLog log) {
        return new Bootstrap()
                .group(workers)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .handler(new Acceptor(workers, handlers, log))
                .bind(new InetSocketAddress(address.host(), address.port()))
                .syncUninterruptibly()
                .channel();
    }

    private static final class Acceptor implements InboundHandler {
        private final EventLoopGroup workers;
        private final Consumer<ChannelPipeline> handlers;
        private final EventLog log;

        Acceptor(EventLoopGroup workers, Consumer<ChannelPipeline> handlers, EventLog log) {
            this.workers = workers;
            this.handlers = handlers;
            this.log = log;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            Channel accepted = (Channel) message;
            accepted.pipeline().addLast(new ChannelSetup(handlers));
            workers.register(accepted).addListener(registered -> {
                if (!registered.isSuccess()) {
                    log.write(Event.failure("transport", "Connection not registered.")
                            .with("cause", registered.cause()));
                    accepted.unsafe().closeForcibly();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.write(Event.failure("transport", "Connection not accepted.").with("cause", cause));
            context.channel().config().setAutoRead(false);
            context.executor()
                    .schedule(
                            () -> context.channel().config().setAutoRead(true),
                            ACCEPT_PAUSE_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
