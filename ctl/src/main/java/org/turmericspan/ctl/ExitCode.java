package org.turmericspan.ctl;

/** Exit codes of {@code turmericspanctl}. */
enum ExitCode {
    /** The command completed without a negative result. */
    OK(0),
    /**
     * The result is negative: faults, differences or an exceeded budget were found, or no log line mentions a request.
     */
    NEGATIVE(1),
    /** The command line is invalid. */
    USAGE(2),
    /** A file could not be read or written, or a node could not be read. */
    UNREADABLE(3);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
