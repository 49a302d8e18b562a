package org.turmericspan.entry;

import java.util.List;
import java.util.function.Supplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.ids.SocketAddress;

/** Addresses to join through, which a reload of the settings may replace. */
@Singleton
final class SeedList implements Supplier<List<SocketAddress>> {
    private volatile List<SocketAddress> seeds;

    @Inject
    SeedList(EntrySettings settings) {
        replace(settings);
    }

    /** Takes the seeds of newer settings. Nodes share one gossip port, so only the hosts differ. */
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
