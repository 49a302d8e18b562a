package org.turmericspan.node;

import dagger.Module;
import dagger.Provides;
import javax.inject.Singleton;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.Locator;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.dispatch.AttemptHandler;
import org.turmericspan.front.CallerServer;
import org.turmericspan.front.TokenIssuer;
import org.turmericspan.ids.Epoch;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.upstream.HttpUpstreamSender;

/** Wires the path of a call: front end, attempts, slots, upstream client. */
@Module
final class CallModule {
    private CallModule() {}

    @Provides
    @Singleton
    static HttpUpstreamSender upstreamSender(MonotonicClock clock) {
        return new HttpUpstreamSender(clock);
    }

    @Provides
    @Singleton
    static CallHandler callHandler(ConfiguredCatalog catalog, SlotSource slots, HttpUpstreamSender sender) {
        return new AttemptHandler(catalog, slots, sender);
    }

    @Provides
    @Singleton
    static TokenIssuer tokenIssuer(NodeIdentity identity) {
        return new TokenIssuer() {
            @Override
            public Incarnation incarnation() {
                return identity.incarnation();
            }

            @Override
            public Epoch epoch() {
                return new Epoch(0);
            }
        };
    }

    @Provides
    @Singleton
    static CallerServer callerServer(
            CallHandler handler, Locator locator, TokenIssuer issuer, ConfiguredCatalog catalog, MonotonicClock clock) {
        return new CallerServer(handler, locator, issuer, catalog, clock);
    }
}
