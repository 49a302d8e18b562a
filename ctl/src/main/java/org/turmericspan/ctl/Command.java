package org.turmericspan.ctl;

import net.sourceforge.argparse4j.inf.Namespace;

/** What one subcommand does. */
@FunctionalInterface
interface Command {
    /** Key under which the parser hands on the chosen command. */
    String KEY = "command";

    /**
     * Runs the command.
     *
     * @param arguments the parsed command line
     * @param output where results go
     * @return how the process exits
     */
    ExitCode run(Namespace arguments, Output output);
}
