package org.turmericspan.retry;

import org.turmericspan.ids.ServiceId;

/** Tells how many retries and hedges a service's operators allow. */
@FunctionalInterface
public interface RetryShare {
    /**
     * Returns the share.
     *
     * @param service the service
     * @return retries and hedges, in percent of calls
     */
    int percent(ServiceId service);
}
