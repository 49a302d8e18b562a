package org.turmericspan.ctl;

/** How {@code turmericspanctl} exits. */
enum ExitCode {
    /** The command did what it says. */
    OK(0),
    /** The answer is no: faults were found, or the two sides or the nodes differ. */
    NO(1),
    /** The command line is wrong. */
    USAGE(2),
    /** A file or a node could not be read. */
    UNREADABLE(3);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
