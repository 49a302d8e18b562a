package org.turmericspan.tenancy;

import java.util.Arrays;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import org.turmericspan.ids.TenantId;

/** Tenants for tests. */
final class Samples {
    private Samples() {}

    static Tenant tenant(String name, String... keys) {
        return new Tenant(
                new TenantId(name),
                Arrays.stream(keys).map(ApiKey::new).collect(Collectors.toSet()),
                RequestCap.UNLIMITED,
                OptionalInt.empty());
    }
}
