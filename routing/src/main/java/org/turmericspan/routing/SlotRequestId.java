package org.turmericspan.routing;

import org.turmericspan.ids.VmId;

/**
 * Identifies a slot request.
 *
 * @param requester VM of the requesting node
 * @param number sequence number on that node
 */
public record SlotRequestId(VmId requester, long number) {}
