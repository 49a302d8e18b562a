package org.turmericspan.tenancy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.turmericspan.errors.ResultCode;

class KeyCheckTest {
    private static final TenantDirectory TENANTS =
            new TenantDirectory(List.of(Samples.tenant("press", "key-1"), Samples.tenant("mill", "key-2")));

    private final KeyCheck current = new KeyCheck(() -> true);
    private final KeyCheck outdated = new KeyCheck(() -> false);

    private static String describe(Identity identity) {
        if (identity instanceof Identity.Known known) {
            return known.tenant().id().value();
        }
        return identity instanceof Identity.Refused refused ? refused.code().name() : identity.toString();
    }

    private String identify(String... credentials) {
        return describe(current.identify(TENANTS, false, List.of(credentials)));
    }

    @Test
    void holderOfTheKeyIsKnown() {
        assertThat(identify("Token key-1")).isEqualTo("press");
        assertThat(identify("Token key-2")).isEqualTo("mill");
    }

    @Test
    void schemeMayBeInAnyCaseAndFollowedBySeveralSpaces() {
        assertThat(identify("tOKEN   key-1 ")).isEqualTo("press");
    }

    @Test
    void anotherSchemeOrNoKeyIsUnknown() {
        for (String credential :
                List.of("Bearer key-1", "key-1", "Token", "Token ", "Token key-1 key-2", "", "Token")) {
            assertThat(identify(credential)).as(credential).isEqualTo(ResultCode.KEY_UNKNOWN.name());
        }
    }

    @Test
    void veryLongOrOddKeyIsUnknown() {
        assertThat(identify("Token " + "x".repeat(100_000))).isEqualTo(ResultCode.KEY_UNKNOWN.name());
        assertThat(identify("Token key\u00e9")).isEqualTo(ResultCode.KEY_UNKNOWN.name());
        assertThat(identify("Token key-1\u0000")).isEqualTo(ResultCode.KEY_UNKNOWN.name());
    }

    @Test
    void missingAndSeveralCredentialsAreRefused() {
        assertThat(identify()).isEqualTo(ResultCode.KEY_MISSING.name());
        assertThat(identify("Token key-1", "Token key-1")).isEqualTo(ResultCode.KEY_AMBIGUOUS.name());
    }

    @Test
    void nodeThatMayLackTheNewestConfigurationCallsNoKeyUnknown() {
        assertThat(describe(outdated.identify(TENANTS, false, List.of("Token key-3"))))
                .isEqualTo(ResultCode.KEY_UNCONFIRMED.name());
        assertThat(describe(outdated.identify(TENANTS, false, List.of("Token key-1"))))
                .isEqualTo("press");
    }

    @Test
    void publicRouteAsksForNoKey() {
        assertThat(current.identify(TENANTS, true, List.of("Token key-3"))).isSameAs(Identity.ANONYMOUS);
    }

    @Test
    void configurationWithoutTenantsAsksForNoKey() {
        assertThat(current.identify(TenantDirectory.NONE, false, List.of("Token key-3")))
                .isSameAs(Identity.UNCHECKED);
    }

    @Property(tries = 500, seed = "20261207")
    void anyCredentialIsDecidedAndNeverShown(@ForAll String credential) {
        Identity identity = current.identify(TENANTS, false, List.of(credential));
        assertThat(identity).isEqualTo(new Identity.Refused(ResultCode.KEY_UNKNOWN));
    }
}
