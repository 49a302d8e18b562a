package org.turmericspan.entry;

/** Registers handlers of signals, for which the JDK has no supported interface. */
final class Signals {
    private Signals() {}

    /** Runs an action on each SIGHUP, which would otherwise terminate the process. */
    static void onHangUp(Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run());
    }
}
