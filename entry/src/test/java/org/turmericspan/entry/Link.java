package org.turmericspan.entry;

/** How a party treats the reads that it receives. */
enum Link {
    SERVING,
    REJECTING,
    REFUSING,
    SILENT
}
