package org.turmericspan.caps;

/**
 * Asks the holder of a shard for permits.
 *
 * @param tenantHash hash of the tenant's name
 * @param asker number drawn at random when the asking process starts
 * @param number number of the ask, rising within one asker and tenant
 * @param waiting requests that wait for a permit
 * @param ahead permits that the asker expects to use within the life of a batch
 * @param returned permits of this holder's last batch that lapsed unused and will never be used
 */
public record CapAsk(long tenantHash, long asker, long number, int waiting, int ahead, int returned)
        implements CapMessage {}
