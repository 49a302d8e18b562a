package org.turmericspan.standins.network;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.turmericspan.ids.SocketAddress;

/** Forwards one loopback port to a target, with a fault that can be changed while it runs. */
public final class Link implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    private final int listenPort;
    private final SocketAddress target;
    private final EventLoopGroup group;
    private final Set<LinkConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile LinkFault fault = LinkFault.NONE;
    private Channel listener;

    /**
     * Creates a link that does not listen yet.
     *
     * @param listenPort port on loopback to listen on
     * @param target address to which connections are forwarded
     * @param group event loops that run the link
     */
    public Link(int listenPort, SocketAddress target, EventLoopGroup group) {
        this.listenPort = listenPort;
        this.target = target;
        this.group = group;
    }

    /**
     * Starts listening.
     *
     * @throws InterruptedException when the thread is interrupted while the port is bound
     */
    public void start() throws InterruptedException {
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel inbound) {
                        accept(inbound);
                    }
                })
                .bind(HOST, listenPort)
                .sync()
                .channel();
    }

    /**
     * Replaces the fault; its delay and bandwidth also apply to open connections.
     *
     * @param newFault fault to inject from now on
     */
    public void setFault(LinkFault newFault) {
        fault = newFault;
    }

    /** Closes every open connection. */
    public void cut() {
        connections.forEach(LinkConnection::close);
    }

    /** Makes every open connection drop all bytes from now on; new connections are not affected. */
    public void silenceOpen() {
        connections.forEach(LinkConnection::blackhole);
    }

    @Override
    public void close() {
        listener.close();
        cut();
    }

    private void accept(Channel inbound) {
        LinkFault currentFault = fault;
        if (currentFault.refuseNew()) {
            inbound.close();
            return;
        }
        LinkConnection connection = new LinkConnection(() -> fault);
        if (currentFault.blackholeNew()) {
            connection.blackhole();
        }
        connections.add(connection);
        inbound.closeFuture().addListener(closed -> connections.remove(connection));
        new Bootstrap()
                .group(inbound.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel outbound) {
                        connection.attach(inbound, outbound);
                    }
                })
                .connect(target.host(), target.port())
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        connection.startReading();
                    } else {
                        inbound.close();
                    }
                });
    }
}
