package org.turmericspan.standins.network;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.turmericspan.ids.SocketAddress;

/** Command line and control port of the fault proxy, which runs one link per forwarded port. */
public final class FaultProxyMain {
    private static final int EVENT_LOOP_THREADS = 2;

    private final Map<Integer, Link> links = new TreeMap<>();

    private FaultProxyMain() {}

    /**
     * Starts the proxy.
     *
     * @param flags {@code --links PORT=HOST:PORT,... --control-port N}
     * @throws InterruptedException when the thread is interrupted while a port is bound
     */
    public static void start(String... flags) throws InterruptedException {
        ArgumentParser parser = ArgumentParsers.newFor("proxy").build();
        parser.addArgument("--links").required(true).help("comma-separated links, each LISTEN_PORT=HOST:PORT");
        parser.addArgument("--control-port").type(Integer.class).required(true);
        Namespace options = parser.parseArgsOrFail(flags);
        FaultProxyMain proxy = new FaultProxyMain();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
        for (String link : options.getString("links").split(",")) {
            String[] parts = link.split("=");
            int port = Integer.parseInt(parts[0]);
            proxy.links.put(port, new Link(port, SocketAddress.parse(parts[1]), group));
        }
        for (Link link : proxy.links.values()) {
            link.start();
        }
        Javalin.create(proxy::configure).start("127.0.0.1", options.getInt("control_port"));
    }

    private void configure(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.routes.post("/control/fault", context -> link(context).setFault(fault(context)));
        config.routes.post("/control/cut", context -> link(context).cut());
        config.routes.post("/control/silence", context -> link(context).silenceOpen());
    }

    private Link link(Context context) {
        return links.get(Integer.parseInt(context.queryParam("port")));
    }

    private static LinkFault fault(Context context) {
        return new LinkFault(
                Boolean.parseBoolean(context.queryParam("refuse")),
                Boolean.parseBoolean(context.queryParam("silent")),
                delay(context),
                (int) numberParameter(context, "bytes_per_second"));
    }

    private static Duration delay(Context context) {
        return Duration.ofMillis(numberParameter(context, "delay_ms"))
                .plus(numberParameter(context, "delay_us"), ChronoUnit.MICROS);
    }

    private static long numberParameter(Context context, String name) {
        return Optional.ofNullable(context.queryParam(name))
                .map(Long::parseLong)
                .orElse(0L);
    }
}
