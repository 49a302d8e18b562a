package org.turmericspan.entry;

import org.turmericspan.http.ListeningSocket;

/**
 * Sockets towards callers. They are bound before anything else is set up, which takes most of a start: callers that
 * come meanwhile wait for a moment instead of being refused.
 *
 * @param callers where callers connect
 * @param directory where callers ask for nodes
 * @param readiness where the platform asks whether this node is ready
 */
record StartSockets(ListeningSocket callers, ListeningSocket directory, ListeningSocket readiness) {
    static StartSockets bind(EntrySettings settings) {
        return new StartSockets(
                ListeningSocket.bind(settings.callerAddress()),
                ListeningSocket.bind(settings.directoryAddress()),
                ListeningSocket.bind(settings.readinessAddress()));
    }
}
