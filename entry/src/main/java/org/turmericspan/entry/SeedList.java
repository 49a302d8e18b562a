package org.turmericspan.entry;

import java.util.List;
import java.util.function.Supplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.ids.SocketAddress;

/** Gossip addresses of the seeds through which a node joins the fleet; a reload of the settings may replace them. */
@Singleton
final class SeedList implements Supplier<List<SocketAddress>> {
    private volatile List<SocketAddress> seeds;

    @Inject
    SeedList(EntrySettings settings) {
        replace(settings);
    }

    /** Replaces the seeds by those of other settings. All nodes use the same gossip port, so only the hosts differ. */
    void replace(EntrySettings settings) {
        int port = settings.gossipAddress().port();
        seeds = settings.seedHosts().stream()
                .map(host -> new SocketAddress(host, port))
                .toList();
    }

    @Override
    public List<SocketAddress> get() {
        return seeds;
    }
}
