package org.turmericspan.tenancy;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.turmericspan.errors.ResultCode;

/**
 * Decides who the caller of a request is. A node that may lack the newest configuration does not call a key unknown,
 * because the key may have been added since.
 */
public final class KeyCheck {
    private static final String SCHEME = "Token";

    private final BooleanSupplier isConfigurationCurrent;

    /**
     * Creates the check.
     *
     * @param isConfigurationCurrent whether the active configuration was confirmed as the newest one lately
     */
    public KeyCheck(BooleanSupplier isConfigurationCurrent) {
        this.isConfigurationCurrent = isConfigurationCurrent;
    }

    /**
     * Identifies the caller of a request.
     *
     * @param tenants tenants of the active configuration
     * @param isPublic whether the route of the request needs no key
     * @param credentials values of all fields in which the caller may present a key
     * @return the identity
     */
    public Identity identify(TenantDirectory tenants, boolean isPublic, List<String> credentials) {
        if (!tenants.requiresKeys()) {
            return Identity.UNCHECKED;
        }
        if (isPublic) {
            return Identity.ANONYMOUS;
        }
        if (credentials.isEmpty()) {
            return new Identity.Refused(ResultCode.KEY_MISSING);
        }
        if (credentials.size() > 1) {
            return new Identity.Refused(ResultCode.KEY_AMBIGUOUS);
        }
        Optional<Tenant> holder = parse(credentials.get(0)).flatMap(tenants::holderOf);
        if (holder.isPresent()) {
            return new Identity.Known(holder.get());
        }
        return new Identity.Refused(
                isConfigurationCurrent.getAsBoolean() ? ResultCode.KEY_UNKNOWN : ResultCode.KEY_UNCONFIRMED);
    }

    /** Returns the key of a credential; empty when it has another scheme or no key. The scheme may be in any case. */
    private static Optional<ApiKey> parse(String credential) {
        String text = withoutOuterSpaces(credential);
        int end = text.indexOf(' ');
        if (end < 0 || !text.substring(0, end).equalsIgnoreCase(SCHEME)) {
            return Optional.empty();
        }
        String key = withoutOuterSpaces(text.substring(end));
        return ApiKey.isWellFormed(key) ? Optional.of(new ApiKey(key)) : Optional.empty();
    }

    /** Removes spaces and tabs only, because other control characters make a key another one. */
    private static String withoutOuterSpaces(String text) {
        int start = 0;
        int end = text.length();
        while (start < end && isSpace(text.charAt(start))) {
            start++;
        }
        while (end > start && isSpace(text.charAt(end - 1))) {
            end--;
        }
        return text.substring(start, end);
    }

    private static boolean isSpace(char character) {
        return character == ' ' || character == '\t';
    }
}
