package org.turmericspan.config;

import org.turmericspan.ids.RuleId;
import org.turmericspan.ids.ServiceId;

/**
 * States whether some requests of a service are idempotent. The rule with the longest matching path prefix applies.
 *
 * @param id name of the rule
 * @param service service that the rule applies to
 * @param method HTTP method that the rule applies to, in upper case
 * @param pathPrefix prefix of the paths that the rule applies to, beginning with a slash
 * @param idempotent whether such a request may run more than once
 * @param tokenRequired whether a non-idempotent request without a run token is refused
 */
public record Rule(
        RuleId id, ServiceId service, String method, String pathPrefix, boolean idempotent, boolean tokenRequired) {}
