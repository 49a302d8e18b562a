package org.turmericspan.routing;

import org.turmericspan.ids.VmId;

/**
 * Identifies a wish that waits at a keeper.
 *
 * @param requester VM of the node that wishes
 * @param number counted up by that node
 */
public record WishKey(VmId requester, long number) {}
