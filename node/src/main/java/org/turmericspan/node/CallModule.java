package org.turmericspan.node;

import dagger.Module;
import dagger.Provides;
import javax.inject.Singleton;
import org.turmericspan.calls.Locator;
import org.turmericspan.front.CallerServer;
import org.turmericspan.front.TokenIssuer;
import org.turmericspan.ids.MonotonicClock;

/** Wires the server that accepts calls. */
@Module
final class CallModule {
    private CallModule() {}

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
