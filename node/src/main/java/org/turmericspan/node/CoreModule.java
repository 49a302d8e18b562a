package org.turmericspan.node;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import java.security.SecureRandom;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.publication.HttpPlatformReader;
import org.turmericspan.tables.WorkerPool;

/** Wires identity, clock, worker pool, platform reader and the tables of the accepted configuration and view. */
@Module
final class CoreModule {
    private CoreModule() {}

    @Provides
    @Singleton
    static RandomGenerator random() {
        return new SecureRandom();
    }

    @Provides
    @Singleton
    static MonotonicClock clock() {
        return MonotonicClock.system();
    }

    @Provides
    @Singleton
    static MetricRegistry metrics() {
        MetricRegistry metrics = new MetricRegistry();
        JvmGauges.register(metrics);
        return metrics;
    }

    @Provides
    @Singleton
    static NodeIdentity identity(NodeSettings settings, RandomGenerator random) {
        return new NodeIdentity(settings.vm(), settings.availabilityZone(), Incarnation.draw(random));
    }

    @Provides
    @Singleton
    static WorkerPool workerPool(NodeSettings settings) {
        return new WorkerPool(settings.workerThreads());
    }

    @Provides
    @Singleton
    static ConfigurationTable configurations(MonotonicClock clock) {
        return new ConfigurationTable(clock);
    }

    @Provides
    @Singleton
    static ViewTable views(MonotonicClock clock) {
        return new ViewTable(clock);
    }

    @Provides
    @Singleton
    static HttpPlatformReader platformReader(NodeSettings settings) {
        return new HttpPlatformReader(settings.platformAddress());
    }
}
