package org.turmericspan.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;

/**
 * Links over TCP. Each node opens its own connections to a peer on demand, one for each traffic class; the messages of
 * the peer arrive over the connections that the peer opened. Messages of one traffic class to one peer are handled in
 * the order in which they were sent; replies are not ordered with respect to other messages.
 */
public final class NettyPeerLinks implements PeerLinks, AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int IDLE_TIMEOUT_SECONDS = 90;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final LinkContext context;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    private final Map<LinkKey, PeerLink> links = new ConcurrentHashMap<>();

    /**
     * Creates links that do not listen yet.
     *
     * @param context objects that the links share
     */
    public NettyPeerLinks(LinkContext context) {
        this.context = context;
    }

    /** Starts to listen for other nodes. */
    public void start() {
        SocketAddress address = context.settings().address();
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accepted.pipeline().addLast(new IdleStateHandler(IDLE_TIMEOUT_SECONDS, 0, 0));
                        FrameCodecHandler.install(accepted.pipeline(), context.traffic());
                        accepted.pipeline().addLast(new AcceptingHandler(context));
                    }
                })
                .bind(address.host(), address.port())
                .syncUninterruptibly();
        logger.atInfo().log(
                "peer: %s listens for other nodes on %s", context.settings().vm(), address);
    }

    @Override
    public void tell(VmId peer, PeerMessage message) {
        link(peer, message).tell(message);
    }

    @Override
    public CompletionStage<PeerMessage> ask(VmId peer, PeerMessage message, Duration timeout) {
        return link(peer, message).ask(message, timeout);
    }

    /** Closes every connection; messages still without a reply end as {@link PeerMessage.Unreachable}. */
    @Override
    public void close() {
        links.values().forEach(PeerLink::close);
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private PeerLink link(VmId peer, PeerMessage message) {
        return links.computeIfAbsent(
                new LinkKey(peer, TrafficClass.of(message)),
                key -> new PeerLink(key.peer(), key.trafficClass(), context, group.next()));
    }

    private record LinkKey(VmId peer, TrafficClass trafficClass) {}
}
