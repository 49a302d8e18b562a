package org.turmericspan.node;

import dagger.Module;
import dagger.Provides;
import javax.inject.Named;
import javax.inject.Singleton;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.Locator;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.dispatch.AttemptHandler;
import org.turmericspan.front.CallerServer;
import org.turmericspan.front.TokenIssuer;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.upstream.HttpUpstreamSender;

/** Wires the path of a call: front end, attempts, slots, upstream client. */
@Module
final class CallModule {
    /** Names the part of the path that sends attempts, behind the gate for run tokens. */
    static final String ATTEMPTS = "attempts";

    private CallModule() {}

    @Provides
    @Singleton
    static HttpUpstreamSender upstreamSender(MonotonicClock clock) {
        return new HttpUpstreamSender(clock);
    }

    @Provides
    @Singleton
    @Named(ATTEMPTS)
    static CallHandler attempts(ConfiguredCatalog catalog, SlotSource slots, HttpUpstreamSender sender) {
        return new AttemptHandler(catalog, slots, sender);
    }

    @Provides
    @Singleton
    static CallerServer callerServer(
            InFlightCalls handler,
            Locator locator,
            TokenIssuer issuer,
            ConfiguredCatalog catalog,
            MonotonicClock clock) {
        return new CallerServer(handler, locator, issuer, catalog, clock);
    }
}
