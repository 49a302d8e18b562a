package org.turmericspan.config;

import org.turmericspan.ids.RuleId;
import org.turmericspan.ids.ServiceId;

/**
 * Says which requests of a service are idempotent. The longest matching path prefix wins.
 *
 * @param id name of the rule
 * @param service service it applies to
 * @param method HTTP method it applies to, in capital letters
 * @param pathPrefix start of the paths it applies to, beginning with a slash
 * @param idempotent whether such a request may be repeated
 * @param tokenRequired whether a non-idempotent request without a run token is refused
 */
public record Rule(
        RuleId id, ServiceId service, String method, String pathPrefix, boolean idempotent, boolean tokenRequired) {}
