package org.turmericspan.entry;

/**
 * Handles SIGHUP, for which the JDK has no supported interface, and which would otherwise terminate the process. A
 * signal that arrives before there is an action for it is remembered, since a process may get one while it starts.
 */
final class HangUpSignals {
    private Runnable action;
    private boolean pending;

    private HangUpSignals() {}

    /** Registers the handler of the process, without an action. */
    static HangUpSignals register() {
        HangUpSignals signals = new HangUpSignals();
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> signals.onSignal());
        return signals;
    }

    /** Sets the action that runs on each signal, and runs it now if one has arrived. */
    synchronized void handleWith(Runnable newAction) {
        action = newAction;
        if (pending) {
            pending = false;
            newAction.run();
        }
    }

    private synchronized void onSignal() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }
}
