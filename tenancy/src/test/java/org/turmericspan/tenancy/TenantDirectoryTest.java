package org.turmericspan.tenancy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

class TenantDirectoryTest {
    @Test
    void keyOfTwoTenantsIsRejectedByTheirNamesOnly() {
        List<Tenant> tenants = List.of(Samples.tenant("press", "secret"), Samples.tenant("mill", "secret"));
        assertThatThrownBy(() -> new TenantDirectory(tenants))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("press")
                .hasMessageContaining("mill")
                .hasMessageNotContaining("secret");
    }

    @Test
    void nameOfTwoTenantsIsRejected() {
        List<Tenant> tenants = List.of(Samples.tenant("press", "k1"), Samples.tenant("press", "k2"));
        assertThatThrownBy(() -> new TenantDirectory(tenants)).hasMessageContaining("press");
    }

    @Test
    void tenantWithoutKeysIsListedAndHoldsNone() {
        TenantDirectory directory = new TenantDirectory(List.of(Samples.tenant("press")));
        assertThat(directory.requiresKeys()).isTrue();
        assertThat(directory.tenants()).hasSize(1);
        assertThat(directory.holderOf(new ApiKey("k1"))).isEmpty();
    }

    @Test
    void eachKeyOfATenantFindsIt() {
        TenantDirectory directory =
                new TenantDirectory(List.of(Samples.tenant("press", "k1", "k2"), Samples.tenant("mill", "k3")));
        assertThat(directory.holderOf(new ApiKey("k2")).orElseThrow().id().value())
                .isEqualTo("press");
        assertThat(directory.holderOf(new ApiKey("k3")).orElseThrow().id().value())
                .isEqualTo("mill");
    }
}
