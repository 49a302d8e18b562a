package org.turmericspan.entry;

/** Handles signals for which the JDK has no other interface. */
final class Signals {
    private Signals() {}

    /** Runs an action at each hang-up signal, which would otherwise end the process. */
    static void onHangUp(Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run());
    }
}
