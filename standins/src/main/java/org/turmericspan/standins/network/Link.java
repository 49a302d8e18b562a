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

/** One forwarded port on loopback, whose faults are set while it runs. */
public final class Link implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    private final int listenPort;
    private final SocketAddress target;
    private final EventLoopGroup group;
    private final Set<LinkPipe> pipes = ConcurrentHashMap.newKeySet();
    private volatile LinkFault fault = LinkFault.NONE;
    private Channel listener;

    /**
     * Names the two ends.
     *
     * @param listenPort port on loopback to listen on
     * @param target where bytes go
     * @param group runs the link
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
     * Sets what happens to bytes and new connections from now on.
     *
     * @param newFault the fault
     */
    public void setFault(LinkFault newFault) {
        fault = newFault;
    }

    /** Closes every open connection. */
    public void cut() {
        pipes.forEach(LinkPipe::close);
    }

    /** Makes every open connection carry nothing from now on, while new ones work. */
    public void silenceOpen() {
        pipes.forEach(LinkPipe::silence);
    }

    @Override
    public void close() {
        listener.close();
        cut();
    }

    private void accept(Channel inbound) {
        LinkFault current = fault;
        if (current.refuseNew()) {
            inbound.close();
            return;
        }
        LinkPipe pipe = new LinkPipe(() -> fault);
        if (current.silentNew()) {
            pipe.silence();
        }
        pipes.add(pipe);
        inbound.closeFuture().addListener(closed -> pipes.remove(pipe));
        new Bootstrap()
                .group(inbound.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel outbound) {
                        pipe.join(inbound, outbound);
                    }
                })
                .connect(target.host(), target.port())
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        pipe.open();
                    } else {
                        inbound.close();
                    }
                });
    }
}
