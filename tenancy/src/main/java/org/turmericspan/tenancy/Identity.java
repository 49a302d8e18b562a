package org.turmericspan.tenancy;

import org.turmericspan.errors.ResultCode;

/** What is known of the caller of a request. */
public sealed interface Identity {
    /** The identity of all callers of a configuration without tenants, whose keys mean nothing to a node. */
    Identity UNCHECKED = new Unchecked();
    /** The identity of a caller whose route needs no key. */
    Identity ANONYMOUS = new Anonymous();

    /** No tenants are configured; headers of the caller are forwarded as they are. */
    record Unchecked() implements Identity {}

    /** The route is public; the upstream is told no tenant. */
    record Anonymous() implements Identity {}

    /**
     * The caller has presented a key of a tenant.
     *
     * @param tenant the holder of the key
     */
    record Known(Tenant tenant) implements Identity {}

    /**
     * The caller has presented no key of a tenant, and the request is refused.
     *
     * @param code reason of the refusal
     */
    record Refused(ResultCode code) implements Identity {}
}
